#!/usr/bin/env bash
# Checks that every specification holds and that each of its mutants does not. A specification NAME.pml lists its
# mutants in comments of the form "// mutant: MACRO"; each is compiled with -DMACRO and must violate a property.
set -euo pipefail
cd "$(dirname "$0")"
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT

# Searches one specification, with the macro of a mutant if given. Sets the variables errors and states.
check() {
	local file=$1 macro=$2 dir
	dir="$build/$(basename "$file" .pml)-${macro:-base}"
	mkdir -p "$dir"
	cp ./*.pml "$dir/"
	(
		cd "$dir"
		spin -a ${macro:+-D$macro} "$file" >spin.log
		gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
		./pan -m1000000 >pan.log 2>&1
	)
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log")
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.log")
	if grep -q 'max search depth too small\|out of memory\|reached -DMEMLIM' "$dir/pan.log"; then
		echo "FAILED: $file ${macro:-} was not searched completely"
		return 1
	fi
}

failed=0
for file in *.pml; do
	[ -e "$file" ] || continue
	check "$file" ""
	echo "$file: $states states, $errors errors"
	[ "$errors" = 0 ] || failed=1
	for macro in $(sed -n 's|^// mutant: \([A-Z_]*\).*|\1|p' "$file"); do
		check "$file" "$macro"
		echo "$file with $macro: $states states, $errors errors (at least 1 expected)"
		[ "$errors" != 0 ] || failed=1
	done
done
exit $failed
