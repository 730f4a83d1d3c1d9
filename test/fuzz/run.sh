#!/usr/bin/env bash
# Runs every fuzz target for the given number of seconds (60) with a new seed.
set -u
cd "$(dirname "$0")/../.."
for binary in build/fuzz/fuzz-*_fuzz; do
  name=$(basename "$binary")
  mkdir -p "build/corpus/$name"
  "$binary" -max_total_time="${1:-60}" -artifact_prefix=build/ \
    "build/corpus/$name" || exit 1
done
