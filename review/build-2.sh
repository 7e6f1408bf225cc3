#!/bin/sh
# Builds the stand-ins of the scripts of this review, without a network: all packages are
# in the lock file of the project and have been fetched by the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml \
    --target-dir target/review-2
