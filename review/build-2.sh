#!/bin/sh
# Builds the stand-ins of the second review into the repository's build folder.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
