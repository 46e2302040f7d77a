#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Needs no network: all packages
# that they use are among those of the program.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
