#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases from 11 on start. It needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/deployment review/standin-3/deployment.rs
