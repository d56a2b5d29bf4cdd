#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6 with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
rustc --edition 2024 -O -o ../target/review/stand-ins-2.new stand-ins-2/main.rs
mv ../target/review/stand-ins-2.new ../target/review/stand-ins-2
