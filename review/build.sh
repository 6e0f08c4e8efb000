#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They need no dependency and no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
