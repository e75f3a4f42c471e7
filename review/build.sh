#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases in review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:-options -d target standins/*.java
