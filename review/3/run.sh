#!/usr/bin/env bash
# Exits with 1 if a request reached a server that had left later than the bound, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
program=../../target/review/harness
if [ ! -x "$program" ] || [ ! -x ../../target/bfnode ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
# TROUBLE=0 leaves the disruption out; the harness reads it.
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 "$program" late-beat .
code=$?
case $code in
0 | 1) exit $code ;;
esac
exit 2
