#!/usr/bin/env bash
# Builds every stand-in that the scripts in review/6 to review/10 start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
