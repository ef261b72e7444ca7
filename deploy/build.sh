#!/bin/sh
# Builds the daemon. Cargo compares the times of files, not their contents: after an earlier build it would not
# compile changed sources whose files are older than that build.
set -eu
cd "$(dirname "$0")/.."
program=target/release/indigospur-platform
sources=$(sh deploy/sources.sh)
case $("$program" --version 2>/dev/null || true) in
*"sources $sources,"*) ;;
*) cargo clean --quiet --release --workspace ;;
esac
cargo build --release --locked -p indigospur-platform
