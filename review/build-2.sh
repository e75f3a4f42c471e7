#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
