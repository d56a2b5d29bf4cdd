#!/usr/bin/env bash
# Builds the stand-ins of the cases, without packages and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/main.rs
