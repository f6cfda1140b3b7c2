#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts with the compiler alone, without packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/standin-2 review/standin-2/main.rs
