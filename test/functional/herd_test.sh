#!/usr/bin/env bash
# Guards against: many nodes that restart at once and overload the store, do not
# converge, or become ready with an older version; a relay that was paused for
# longer than its lease and resumes with an old view.
source "$(dirname "$0")/mesh.sh"
mesh_begin herd
mesh_store
index=0
for zone in praha-a praha-b kladno-c; do
  for number in 1 2 3 4; do
    mesh_node "$zone-$number" "$zone" cz-central $index
    index=$((index + 1))
  done
done
for slot in "${NODES[@]}"; do
  wait_for "$slot is ready" 20 is_ready "$slot" \
    || fail "$slot did not become ready"
done
"$BIN/example-zapis" >"$RUN/zapis.yaml"
ctl praha-a-1 apply "$RUN/zapis.yaml" >/dev/null \
  || fail "the first configuration was not accepted"
wait_for "version 1 everywhere" 7 all_nodes_at 1 \
  || fail "version 1 is not in force on all nodes"

# In each zone a relay is paused for longer than its lease of 15 s.
paused=(praha-a-2 praha-b-2 kladno-c-2 kladno-c-3)
for slot in "${paused[@]}"; do kill -STOP "${PID[$slot]}"; done

# Half of the nodes are killed at once; a version is accepted meanwhile.
restarted=(praha-a-3 praha-a-4 praha-b-3 praha-b-4 kladno-c-1 kladno-c-4)
for slot in "${restarted[@]}"; do stop "$slot" KILL; done
wait_for "apply without the killed nodes" 20 ctl praha-b-1 apply \
  "$(change_document 2)" \
  || fail "a change without the killed nodes was not accepted"
calls_before=$(($(store_count get) + $(store_count list)))
for slot in "${restarted[@]}"; do node_run "$slot"; done
for slot in "${restarted[@]}"; do
  wait_for "$slot is ready again" 20 is_ready "$slot" \
    || fail "$slot is not ready after its restart"
  [ "$(state "$slot" version)" = 2 ] \
    || fail "$slot is ready with an older version"
done
calls=$(($(store_count get) + $(store_count list) - calls_before))
# Bound: for each restarted node one list of entry points and one confirmed read
# of the head, and the plain reads of the relays.
[ "$calls" -le $((4 * ${#restarted[@]})) ] || fail "restart: $calls store reads"

sleep 16
for slot in "${paused[@]}"; do kill -CONT "${PID[$slot]}"; done
wait_for "paused nodes catch up" 20 all_nodes_at 2 \
  || fail "the paused nodes do not catch up"
wait_for "apply afterwards" 20 ctl kladno-c-1 apply \
  "$(change_document 3)" || fail "a change after the restart was not accepted"
wait_for "version 3 everywhere" 7 all_nodes_at 3 \
  || fail "version 3 is not in force on all nodes"
versions_only_grow || fail "a version went back"
echo "herd_test passed"
