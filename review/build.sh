#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network: it has no dependencies.
set -eu
cd "$(dirname "$0")/stand-in"
cargo build --release --offline --locked
