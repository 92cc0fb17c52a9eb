#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs only the compiler: no crate, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}/case.rs; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O "$case" -o "target/review-2/case-$number"
done
