#!/usr/bin/env bash
# Builds everything and runs the formatter check, the linter, the tests and the checks of the specifications. Installs
# spin if it is missing. If KNOWN-RED.txt has entries, the tests tagged known-red run last; their failures are printed
# but do not fail the script.
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v spin >/dev/null; then
	echo "installing spin, the model checker"
	apt-get update -qq
	apt-get install -y -qq spin >/dev/null
fi
# Modules that do not depend on each other run side by side.
mvn -B -ntp -T 2 verify "$@"
spec/check.sh
if grep -q '^1\.' KNOWN-RED.txt 2>/dev/null; then
	echo "Known failing tests, which do not affect the result:"
	cat KNOWN-RED.txt
	mvn -B -ntp -q test "$@" -fae -Dtest.excludedGroups=long -Dgroups=known-red ||
		echo "a known failing test failed"
fi
