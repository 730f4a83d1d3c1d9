#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: the project's own
# store, and the upstream and the clients of review/standins-2.
set -eu
cd "$(dirname "$0")/.."
make build/opt/standin-platform
mkdir -p build/review-2
for name in upstream client uploader idler; do
  gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -pthread \
    -o "build/review-2/$name" "review/standins-2/$name.c"
done
