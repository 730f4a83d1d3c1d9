#!/usr/bin/env bash
# Runs the benchmarks whose figures CI checks: prints "name value unit bound
# ok|over" per figure, writes the same as JSON to build/bench.json, and fails
# when a figure is out of its bound.
set -u
cd "$(dirname "$0")/.."
: >build/bench.txt
failed=0
for binary in build/opt/bench-*_bench; do
  [ -x "$binary" ] || continue
  "$binary" >build/bench-one.txt || { echo "$binary failed"; failed=1; }
  grep -E ' (ok|over)$' build/bench-one.txt | tee -a build/bench.txt
done

# instructions NAME FUNCTION COUNT BOUND ARGUMENT: prints the mean instructions
# per call of a function in COUNT calls. Counted by callgrind, so the figure is
# the same in every run of a binary.
instructions() {
  local total
  total=$(valgrind --tool=callgrind --callgrind-out-file=/dev/null \
    --toggle-collect="$2" build/opt/bench-config_bench "$5" 2>&1 \
    | sed -nE 's/.*Collected : ([0-9]+).*/\1/p')
  awk -v name="$1" -v total="${total:-0}" -v count="$3" -v bound="$4" 'BEGIN {
    value = total / count
    print name, int(value), "instructions", bound,
      (value > 0 && value <= bound) ? "ok" : "over" }' | tee -a build/bench.txt
}

# 2.6% of a core at 0.088 changes per second is 0.295 s per change. At 1e9
# instructions per second, an apply may use a tenth of that.
instructions config_apply_instructions config_apply 10 29500000 apply
# 1% of the added latency of 1.6 ms, at 1e9 instructions per second.
instructions route_match_instructions route_table_match 1000 16000 match

awk 'BEGIN { print "[" } { printf "%s{\"name\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"bound\":%s,\"verdict\":\"%s\"}\n", (NR > 1 ? "," : ""), $1, $2, $3, $4, $5 } END { print "]" }' \
  build/bench.txt >build/bench.json
grep -q ' over$' build/bench.txt && failed=1
exit $failed
