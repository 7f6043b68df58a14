#!/bin/sh
# Builds what the cases of the second review start beside the programs of the deploy file's build. No network, no
# dependency: the stand-ins use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/standins/world.rs -o target/review-2/world
