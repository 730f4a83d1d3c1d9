#!/usr/bin/env bash
# Runs every benchmark that CI judges, prints "name value unit bound ok|over"
# per figure, writes the same as JSON to build/bench.json, and fails when a
# figure passes its bound.
set -u
cd "$(dirname "$0")/.."
: >build/bench.txt
failed=0
for binary in build/opt/bench-*_bench; do
  [ -x "$binary" ] || continue
  "$binary" >build/bench-one.txt || { echo "$binary failed"; failed=1; }
  grep -E ' (ok|over)$' build/bench-one.txt | tee -a build/bench.txt
done
awk 'BEGIN { print "[" } { printf "%s{\"name\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"bound\":%s,\"verdict\":\"%s\"}\n", (NR > 1 ? "," : ""), $1, $2, $3, $4, $5 } END { print "]" }' \
  build/bench.txt >build/bench.json
grep -q ' over$' build/bench.txt && failed=1
exit $failed
