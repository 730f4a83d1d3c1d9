#!/usr/bin/env bash
# Measures meshes of node processes on loopback in three zones: convergence of
# changes, control bytes, store calls, processor time and memory per node; the
# same after half of the nodes were killed and restarted; restarts during an
# outage of the store. Then the same store serves pollers that fetch the whole
# configuration (bench/poll_baseline.c). Prints "name value unit" per figure. CI
# does not run it: the figures depend on the machine.
#   bench/mesh_scale.sh [NODES..., default 20 60 180; at most 186]
# Each size runs in a process of its own, so that mesh.sh ends all processes of
# one size before the next.
if [ $# -ne 1 ]; then
  for size in "${@:-20 60 180}"; do
    for n in $size; do "$0" "$n" || exit 1; done
  done
  exit 0
fi
source "$(dirname "$0")/../test/functional/mesh.sh"
source "$(dirname "$0")/mesh_figures.sh"
N=$1
# Limit of the ports of mesh.sh: the highest base is 29,900, and 186 nodes use
# 1,960 ports from there.
[ "$N" -ge 6 ] && [ "$N" -le 186 ] || { echo "NODES must be 6 to 186"; exit 2; }
WINDOW_S=${WINDOW_S:-12}
# The expected 7,600 changes per day are 0.09 per second. Ten times that rate
# puts enough changes into a short window.
CHANGE_INTERVAL_MS=1111
SEED_INDEXES="0 1 2"
ZONES=(praha-a praha-b kladno-c)
FIGURES=mesh_$N
mesh_begin scale

# document N: writes a document of 410 services and 820 routes; the timeout of
# one route depends on N, so that each N is a change.
document() {
  awk -v n="$1" 'BEGIN {
    print "format: 1\nmesh: zapis\nservices:"
    for (i = 0; i < 410; i++) printf "  - name: s%03d\n    version: v1\n", i
    print "routes:"
    for (i = 0; i < 820; i++)
      printf "  - name: r%03d\n    prefix: /s%03d/%d/\n    service: s%03d\n" \
             "    idempotent: true\n    timeout_ms: %d\n",
             i, i % 410, i / 410, i % 410, 2000 + (i == 7 ? n : 0)
  }' >"$RUN/document.yaml"
}

# changes NAME COUNT [SAMPLE]: makes changes at the fixed rate, takes a sample
# at the end of the last interval, and prints the times from the start of
# hawthornseam-ctl until each node has that version or a later one in force.
changes() {
  local name=$1 count=$2 i due sent
  : >"$RUN/sent"
  due=$(now_ms)
  for i in $(seq "$count"); do
    VERSION=$((VERSION + 1))
    document "$VERSION"
    while [ "$(now_ms)" -lt "$due" ]; do sleep 0.02; done
    sent=$(now_ms)
    ctl "${NODES[$((i % 5))]}" apply "$RUN/document.yaml" \
      >"$RUN/apply.out" 2>&1 \
      || { cat "$RUN/apply.out"; fail "apply of version $VERSION failed"; }
    echo "$VERSION $sent" >>"$RUN/sent"
    due=$((due + CHANGE_INTERVAL_MS))
  done
  while [ "$(now_ms)" -lt "$due" ]; do sleep 0.02; done
  [ -z "${3:-}" ] || sample "$3"
  wait_for "version $VERSION everywhere" 20 all_nodes_at "$VERSION" \
    || fail "$name: version $VERSION is not in force everywhere"
  local slot
  for slot in "${NODES[@]}"; do
    awk '
      NR == FNR { sent[$1] = $2; next }
      /event=version_in_force/ {
        match($0, /t=[0-9.]+/); t = substr($0, RSTART + 2, RLENGTH - 2) * 1000
        match($0, /version=[0-9]+/)
        version = substr($0, RSTART + 8, RLENGTH - 8) + 0
        for (v in sent)
          if (v + 0 <= version && !(v in seen) && t >= sent[v] - 10) {
            seen[v] = 1; printf "%d\n", t - sent[v]
          } }' "$RUN/sent" "$RUN/$slot.log"
  done | sort -n >"$RUN/delays"
  figure "${name}_changes" "$count" count
  figure "${name}_samples" "$(wc -l <"$RUN/delays")" count
  awk -v name="${FIGURES}_${name}_convergence" '{ d[NR] = $1 } END {
    printf "%s_p50 %d ms\n%s_p99 %d ms\n%s_last %d ms\n", name,
      d[int((NR + 1) / 2)], name, d[int(NR * 0.99 + 0.5)], name, d[NR] }' \
    "$RUN/delays"
}

# ready_count SLOT...: number of these nodes that are ready.
ready_count() {
  local slot count=0
  for slot in "$@"; do is_ready "$slot" && count=$((count + 1)); done
  echo "$count"
}
all_ready() { [ "$(ready_count "$@")" -eq $# ]; }
# last_ready SLOT...: time of the latest event=ready in the logs of these nodes,
# in ms.
last_ready() {
  local slot
  for slot in "$@"; do grep 'event=ready' "$RUN/$slot.log" | tail -n 1; done \
    | sed -E 's/^t=([0-9]+)\.([0-9]+).*/\1\2/' | sort -n | tail -n 1
}

mesh_store
store_control "reads_per_s=2000&writes_per_s=300"
began=$(now_ms)
for index in $(seq 0 $((N - 1))); do
  mesh_node "n$index" "${ZONES[$((index % 3))]}" cz-central "$index"
done
wait_for "first start" 40 all_ready "${NODES[@]}" \
  || fail "not all nodes are ready after the first start"
figure start_all_ready $(($(last_ready "${NODES[@]}") - began)) ms
VERSION=0
changes first 1
sleep 5

sample idle0
sleep "$WINDOW_S"
sample idle1
window idle idle0 idle1
sample change0
changes change 10 change1
window change change0 change1

half=("${NODES[@]:$((N / 2))}")
sample herd0
for slot in "${half[@]}"; do
  kill -KILL "${PID[$slot]}"
done
sleep 3
began=$(now_ms)
for slot in "${half[@]}"; do node_run "$slot"; done
wait_for "half of the nodes again" 40 all_ready "${half[@]}" \
  || figure herd_not_ready $((${#half[@]} - $(ready_count "${half[@]}"))) count
figure herd_all_ready $(($(last_ready "${half[@]}") - began)) ms
sample herd1
window herd herd0 herd1
changes after_herd 3

# A tenth of the nodes restarts while the store answers 503 to every call.
tenth=("${NODES[@]:$((N - N / 10))}")
store_control "outage=1"
for slot in "${tenth[@]}"; do kill -KILL "${PID[$slot]}"; done
sleep 1
began=$(now_ms)
for slot in "${tenth[@]}"; do node_run "$slot"; done
wait_for "restart with the store out" 20 all_ready "${tenth[@]}"
figure outage_restarted ${#tenth[@]} count
figure outage_ready "$(ready_count "${tenth[@]}")" count
figure outage_all_ready $(($(last_ready "${tenth[@]}") - began)) ms
store_control "outage=0"
versions_only_grow || fail "a node went back to an older version"

for slot in "${NODES[@]}"; do kill -KILL "${PID[$slot]}"; done
sleep 1
"$BIN/bench-poll_baseline" --store-port "$STORE_PORT" --pollers "$N" \
  --document "$RUN/document.yaml" || fail "the polling baseline failed"
