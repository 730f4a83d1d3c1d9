#!/usr/bin/env bash
# Compares the latency of direct calls to a target with that of calls through
# two nodes: at 1, 64 and 512 concurrent calls and at a fixed rate. Also prints
# the processor time that each node spends per call. CI does not run it: the
# figures depend on the machine.
#   bench/latency.sh [SECONDS per step, default 5] [CALLS/S of the rate step,
#   default 2000]
source "$(dirname "$0")/../test/functional/mesh.sh"
SECONDS_PER_STEP=${1:-5}
RATE=${2:-2000}
mesh_begin latency

mesh_store
mesh_node entry praha-a cz-central 0
mesh_node beside praha-a cz-central 1
mesh_target beside zapisy v1 --slots 1000 --connections 1000 --service-ms 1
cat >"$RUN/latency.yaml" <<'YAML'
format: 1
mesh: zapis
services:
  - name: zapisy
    version: v1
routes:
  - name: zapisy-read
    prefix: /zapisy/
    service: zapisy
    idempotent: true
    timeout_ms: 5000
YAML
for slot in entry beside; do
  wait_for "$slot is ready" 20 is_ready "$slot" || fail "$slot is not ready"
done
ctl entry apply "$RUN/latency.yaml" >"$RUN/apply.out" 2>&1 \
  || fail "apply failed"
wait_for "version everywhere" 10 all_nodes_at 1 \
  || fail "version 1 is not in force"
called() {
  curl -sf -m 2 -o /dev/null "http://127.0.0.1:$(call_port entry)/zapisy/1"
}
wait_for "a call through both nodes" 10 called || fail "no call succeeded"

# cpu_ticks NAME: processor time of a process so far, in clock ticks of 10 ms.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${PID[$1]}/stat"; }
# field NAME FIGURE: a figure from the report of the load generator.
field() { awk -v name="$2" '$1 == name { print $2 }' "$RUN/$1.txt"; }
# load NAME PORT OPTION...: runs the load generator; its report is NAME.txt.
load() {
  local name=$1 port=$2
  shift 2
  "$BIN/hawthornseam-load" --to "127.0.0.1:$port" --path 1:GET:/zapisy/1 \
    --duration-s "$SECONDS_PER_STEP" "$@" >"$RUN/$name.txt" \
    || fail "wrong responses in $name"
}
# step NAME OPTION...: measures direct calls, then calls through the nodes, and
# prints one line.
step() {
  local name=$1
  shift
  load direct "$(target_port beside)" "$@"
  local entry_before beside_before
  entry_before=$(cpu_ticks entry)
  beside_before=$(cpu_ticks beside)
  load nodes "$(call_port entry)" "$@"
  awk -v name="$name" -v d50="$(field direct p50_ms)" \
    -v d99="$(field direct p99_ms)" -v n50="$(field nodes p50_ms)" \
    -v n99="$(field nodes p99_ms)" -v rate="$(field nodes calls_per_s)" \
    -v calls="$(field nodes calls)" -v ran="$(field nodes ran)" \
    -v entry=$(($(cpu_ticks entry) - entry_before)) \
    -v beside=$(($(cpu_ticks beside) - beside_before)) 'BEGIN {
      printf "%s: direct p50 %.3f p99 %.3f ms, nodes p50 %.3f p99 %.3f ms, " \
             "added p50 %.3f p99 %.3f ms, %.0f calls/s, %d of %d ran, cpu " \
             "per call entry %.0f us, beside %.0f us\n", name, d50, d99, n50,
             n99, n50 - d50, n99 - d99, rate, ran, calls,
             entry * 10000 / calls, beside * 10000 / calls }'
}
step "concurrency 1" --concurrency 1
step "concurrency 64" --concurrency 64
step "concurrency 512" --concurrency 512
step "rate $RATE/s" --rate "$RATE" --concurrency 512
