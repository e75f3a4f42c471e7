#!/usr/bin/env bash
# Builds everything and runs formatter, linter, specifications and tests. Installs spin where it is missing.
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v spin >/dev/null; then
	echo "installing spin, the model checker"
	apt-get update -qq
	apt-get install -y -qq spin >/dev/null
fi
mvn -B -ntp verify "$@"
spec/check.sh
