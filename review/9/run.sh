#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wasabid ] && [ -x target/review-2/case-9 ] || exit 2
target/review-2/case-9 review/9/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
