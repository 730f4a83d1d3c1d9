#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: the project's own
# store, and the upstream and the clients of review/standins-2. The store is
# linked with the sidecar's objects and libraries, so that nothing is needed but
# the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
make BUILD=$out VARIANT=opt -j8 $out/hawthornseam-sidecar $out/obj/test/standin/platform.o
mapfile -t objects < <(find $out/obj/src $out/obj/platform -name '*.o' ! -name sidecar_main.o)
mkdir -p build/opt
gcc -o build/opt/standin-platform $out/obj/test/standin/platform.o "${objects[@]}" \
  -Wl,-Bstatic -levent_extra -levent_core -lhttp_parser -lyaml -ltalloc -lsodium -lzstd \
  -ljansson -lxxhash -largtable2 -Wl,-Bdynamic -lm
for name in upstream client uploader idler; do
  gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -pthread \
    -o "$out/$name" "review/standins-2/$name.c"
done
