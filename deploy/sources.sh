#!/bin/sh
# Prints the digest of the sources that `indigospur-platform --version` names for a build of the same files.
set -eu
cd "$(dirname "$0")/.."
package='Cargo\.toml|build\.rs|src/.*'
find . -path ./target -prune -o -type f -print | sed 's|^\./||' |
    grep -E "^(Cargo\.lock|$package|(platform|crates/[^/]*)/($package))\$" |
    LC_ALL=C sort | xargs sha256sum | sha256sum | cut -c1-16
