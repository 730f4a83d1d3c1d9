#!/usr/bin/env bash
# Builds the stand-ins of the review's cases in build/review: the project's
# stand-in of the platform, for its store, and one program for each script.
# Needs the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=build/review
mkdir -p "$out"
flags="-std=gnu11 -g -O2 -Wall -Wextra -Wno-unused-parameter -Isrc -Iinclude -I."
gcc $flags -o "$out/standin-platform" test/standin/platform.c \
  src/base/clock.c src/base/counter.c src/base/log.c src/base/rng.c \
  src/base/status.c src/transport/http_head_check.c \
  src/transport/http_server.c src/transport/http_stream.c \
  src/transport/timer.c \
  -Wl,-Bstatic -levent_extra -levent_core -lhttp_parser -ltalloc -lsodium \
  -ljansson -Wl,-Bdynamic -lm
for source in review/[0-9]/case.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  gcc $flags -D_GNU_SOURCE -o "$out/case-$number" "$source" \
    review/common/mesh.c review/common/pipeline.c -pthread
done
