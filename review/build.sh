#!/bin/sh
# Builds the stand-ins of the review cases. They use the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/world world/main.rs
