#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They need no network and no
# package but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
