#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2/main.rs
