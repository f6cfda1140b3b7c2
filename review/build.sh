#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts with the compiler alone, without packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/standin review/standin/main.rs
