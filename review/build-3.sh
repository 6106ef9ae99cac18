#!/usr/bin/env bash
# Builds the stand-ins of the third review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/stand_ins_3/main.rs -o target/review-3/stand-in
