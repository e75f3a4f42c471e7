#!/usr/bin/env bash
# Another kind of spoiled answer: a malformed line in its head (rule MIXED); exits as run.sh does.
cd "$(dirname "$0")/../.."
exec timeout 110 java -Xmx256m -cp review/target SpoiledHead review/3/record-spoiled-head.txt
