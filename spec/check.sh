#!/bin/sh
# Checks the specifications: each one as it stands must hold over its whole state
# space, and each with one safeguard left out must be shown wrong.
set -u

spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
trap 'exit 1' HUP INT TERM

passed=0
failed=0

# search MODEL FLAGS...: a full search, its output in $work/pan.out.
search() {
	model=$1
	shift
	(
		cd "$work" || exit 1
		rm -f pan pan.* ./*.trail
		spin "$@" -a "$spec/$model" >spin.out 2>&1 || exit 1
		gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=1900 -o pan pan.c >gcc.out 2>&1 || exit 1
		./pan -m100000 >pan.out 2>&1
	)
}

# report VERDICT EXPECTED MODEL FLAGS...
report() {
	verdict=$1
	expected=$2
	shift 2
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.out" 2>/dev/null)
	mark=ok
	if [ "$verdict" = "$expected" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		mark=FAILED
		cat "$work/spin.out" "$work/gcc.out" "$work/pan.out" 2>/dev/null
	fi
	printf '%-7s %-15s %10s states %4ss  %s\n' "$mark" "$verdict" "${states:-no}" "$(($(date +%s) - began))" "$*"
}

verdict() {
	if [ ! -f "$work/pan.out" ]; then
		echo "not run"
	elif grep -q 'assertion violated\|invalid end state (' "$work/pan.out"; then
		echo counterexample
	elif grep -q 'Search not completed\|search depth too small\|out of memory\|MEMLIM bound' "$work/pan.out"; then
		echo incomplete
	elif grep -q 'errors: 0' "$work/pan.out"; then
		echo holds
	else
		echo incomplete
	fi
}

# check EXPECTED MODEL FLAGS...
check() {
	expected=$1
	shift
	rm -f "$work"/*.out
	began=$(date +%s)
	search "$@"
	report "$(verdict)" "$expected" "$@"
}

check holds adopt.pml -DPART_COMMIT
check counterexample adopt.pml -DPART_COMMIT -DNO_CAS
check counterexample adopt.pml -DPART_COMMIT -DNO_CHANGE_ROW
check counterexample adopt.pml -DPART_COMMIT -DNO_DOUBT
check counterexample adopt.pml -DPART_COMMIT -DBLIND_RETRY

check holds adopt.pml -DPART_FORCE
check counterexample adopt.pml -DPART_FORCE -DNO_MAJORITY
check counterexample adopt.pml -DPART_FORCE -DONE_ANSWER
check counterexample adopt.pml -DPART_FORCE -DNO_ORDER
check counterexample adopt.pml -DPART_FORCE -DNO_RENOTE
# One restart of each kind is enough for these, and keeps the search short.
check counterexample adopt.pml -DPART_FORCE -DNODE_RESTARTS=1 -DWITNESS_RESTARTS=1 -DNO_FRESH_RULE
check counterexample adopt.pml -DPART_FORCE -DNODE_RESTARTS=1 -DWITNESS_RESTARTS=1 -DNO_INCARNATION
check counterexample adopt.pml -DPART_FORCE -DNODE_RESTARTS=1 -DWITNESS_RESTARTS=1 -DEARLY_NOTE

check holds claim.pml
check holds claim.pml -DTWICE
check counterexample claim.pml -DNO_BAR
check counterexample claim.pml -DNO_INCARNATION
check counterexample claim.pml -DBLIND_RETRY
check counterexample claim.pml -DTWICE -DNO_COUNT
check counterexample claim.pml -DTWICE -DNO_ABORT_BAR

check holds claim.pml -DKEYED
check holds claim.pml -DKEYED -DTWICE
check counterexample claim.pml -DKEYED -DNO_FENCE
check counterexample claim.pml -DKEYED -DNO_ASK
check counterexample claim.pml -DKEYED -DTAKE_LOST
check counterexample claim.pml -DKEYED -DBLIND_GRANT
check counterexample claim.pml -DKEYED -DNO_TOMBSTONE
check counterexample claim.pml -DKEYED -DNO_INCARNATION
check counterexample claim.pml -DKEYED -DTWICE -DNO_ABORT_BAR

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
