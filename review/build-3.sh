#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/rig review/rig-3/rig.rs
