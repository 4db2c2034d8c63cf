#!/bin/sh
# Builds everything, runs a small cell on loopback, puts work through it, stops one daemon
# under load, and shows what happened. Exits non-zero where a promise broke.
set -eu
cd "$(dirname "$0")/.."
cell=${1:-es-north}
cargo build --release --quiet --locked --bins
if [ "$cell" = pool ]; then
  exec ./target/release/quickstart-pool --bin target/release
fi
exec ./target/release/quickstart --bin target/release "examples/$cell"
