#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world review/standins-2/main.rs
