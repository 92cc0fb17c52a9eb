#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
stand_in=target/review-3/deployment
[ -x "$stand_in" ] && [ -x target/release/wasabid ] || exit 2
# A group of processes of its own, which ends as a whole if this script is ended.
set -m
"$stand_in" refused target/release/wasabid review/15/record.txt &
group=$!
trap 'kill -KILL -- "-$group"; exit 2' INT TERM
wait "$group"
