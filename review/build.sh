#!/bin/sh
# Builds the stand-ins and checks of all cases into target/review. Uses only rustc and the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-9]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O --crate-name "case_$number" -o "target/review/case-$number" "$case"
done
