#!/usr/bin/env bash
# Measures what a running move adds to the control bytes, processor time and
# store calls of the nodes: 24 nodes in three zones, each with a target of the
# same service and with callers. Prints "name value unit" per figure. CI does
# not run it: the figures depend on the machine.
#   bench/move_scale.sh [CALLS/S of all callers, default 600]
source "$(dirname "$0")/../test/functional/mesh.sh"
source "$(dirname "$0")/mesh_figures.sh"
RATE=${1:-600}
N=24
WINDOW_S=12
FIGURES=move_$N
SEED_INDEXES="0 1 2"
ZONES=(praha-a praha-b kladno-c)
mesh_begin move

mesh_store
store_control "reads_per_s=2000&writes_per_s=300"
for index in $(seq 0 $((N - 1))); do
  mesh_node "n$index" "${ZONES[$((index % 3))]}" cz-central "$index"
done
for slot in "${NODES[@]}"; do
  wait_for "$slot is ready" 20 is_ready "$slot" || fail "$slot is not ready"
done
# Two targets of each zone run the new version.
for index in $(seq 0 $((N - 1))); do
  version=v1
  [ "$index" -lt 6 ] && version=v2
  mesh_target "n$index" zapisy "$version" --slots 12
done
"$BIN/example-zapis" >"$RUN/zapis.yaml"
ctl n0 apply "$RUN/zapis.yaml" >"$RUN/apply.out" 2>&1 || fail "apply failed"
wait_for "version 1" 10 all_nodes_at 1 || fail "version 1 is not in force"
called() {
  curl -sf -m 2 -o /dev/null "http://127.0.0.1:$(call_port n7)/zapisy/1"
}
wait_for "a call" 10 called || fail "no call succeeded"

to=()
for slot in "${NODES[@]}"; do to+=(--to "127.0.0.1:$(call_port "$slot")"); done
start load "$BIN/hawthornseam-load" "${to[@]}" --path 1:GET:/zapisy/1 \
  --rate "$RATE" --concurrency 64 --duration-s 60
sleep 5
sample calls0
sleep "$WINDOW_S"
sample calls1
window calls calls0 calls1

"$BIN/example-zapis" v2 "$(date -u -d '+90 seconds' +%Y-%m-%dT%H:%M:%SZ)" \
  >"$RUN/move.yaml"
ctl n0 apply "$RUN/move.yaml" >"$RUN/apply.out" 2>&1 \
  || { cat "$RUN/apply.out"; fail "apply of the move failed"; }
sleep 3
sample move0
sleep "$WINDOW_S"
sample move1
window running move0 move1
ctl n0 move status >"$RUN/status.out" 2>&1
grep -q running "$RUN/status.out" \
  || { cat "$RUN/status.out"; fail "the move is not running"; }
wait_for "end of the load" 60 has_ended "${PID[load]}"
figure load_calls "$(awk '$1 == "calls" { print $2 }' "$RUN/load.out")" count
figure load_ran "$(awk '$1 == "ran" { print $2 }' "$RUN/load.out")" count
