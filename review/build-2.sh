#!/bin/sh
# Builds the stand-ins and cases of the second review, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/platform-2/Cargo.toml --target-dir target/review-2
