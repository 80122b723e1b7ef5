#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs it without the disruption. Needs the build of the deploy file
# and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
scratch=$(mktemp -d) || exit 2
target/review/joined_case target/entry/carawayvalve "review/2" "$scratch" "${TROUBLE:-1}"
result=$?
rm -rf "$scratch"
[ "$result" -le 2 ] || result=2
exit "$result"
