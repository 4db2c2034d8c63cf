#!/bin/sh
# Builds all programs, runs a small cell on loopback, submits work to it, stops one daemon
# under load and prints the outcomes. Exits non-zero if a guarantee was broken, a request or
# task did not succeed, or a daemon did not stop gracefully.
set -eu
cd "$(dirname "$0")/.."
cell=${1:-es-north}
cargo build --release --quiet --locked --bins
if [ "$cell" = pool ]; then
  exec ./target/release/quickstart-pool --bin target/release
fi
exec ./target/release/quickstart --bin target/release "examples/$cell"
