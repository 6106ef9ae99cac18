#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins review/stand_ins_2/main.rs
