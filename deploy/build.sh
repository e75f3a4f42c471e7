#!/usr/bin/env bash
# Builds the entry daemon in target/entry, and target/entry.jsa, a class data sharing archive that shortens its start.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -pl platform -am package
rm -rf target/entry target/entry.jsa
mkdir -p target/entry
cp platform/target/lib/*.jar target/entry/
cp platform/target/comfreyslip-platform-*.jar target/entry/comfreyslip-platform.jar
java -XX:ArchiveClassesAtExit=target/entry.jsa -XX:+UseSerialGC -cp target/entry/comfreyslip-platform.jar \
	org.comfreyslip.platform.ArchiveMain 2>target/entry-archive.log
