#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start: the program of the deploy file, and the
# stand-ins, which need the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --package mimosastep-platform
rustc --edition 2024 -O -o target/release/review-standin-3 review/standin-3/main.rs
