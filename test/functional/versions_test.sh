#!/usr/bin/env bash
# Guards against: a node that returns to an older version or becomes ready with a
# lower version than its slot had in force; a write that is applied twice or
# reported wrongly when responses are lost; a concurrent change that is lost
# silently; a mesh that follows a store which was restored to older content.
source "$(dirname "$0")/mesh.sh"
mesh_begin versions
mesh_six

ctl praha-a-1 apply "$RUN/zapis.yaml" >/dev/null \
  || fail "the first configuration was not accepted"
wait_for "version 1 everywhere" 7 all_nodes_at 1 \
  || fail "version 1 is not in force on all nodes"

# Concurrent changes with the same base version: exactly one is accepted.
for n in 1 2 3 4; do
  ctl "${NODES[$n]}" apply --base 1 "$(change_document "$n")" \
    >"$RUN/race-$n" 2>&1 &
  races[n]=$!
done
won=0
for n in 1 2 3 4; do wait "${races[$n]}" && won=$((won + 1)); done
[ "$won" -eq 1 ] || fail "concurrent changes: $won accepted"
wait_for "version 2 everywhere" 7 all_nodes_at 2 \
  || fail "version 2 is not in force on all nodes"

# Lost responses of the store: a change is applied once and reported as
# accepted.
store_control "drop_answers=2"
ctl praha-b-1 apply "$(change_document 11)" >/dev/null \
  || fail "a change with lost responses was not accepted"
wait_for "version 3 everywhere" 7 all_nodes_at 3 \
  || fail "version 3 is not in force on all nodes"
store_control "drop_answers=0"

# Store unavailable: a change is refused; a restarted node still becomes ready.
store_control "outage=1"
ctl praha-b-1 apply "$(change_document 12)" >"$RUN/out" 2>&1 \
  && fail "a change was accepted with the store unavailable"
stop kladno-c-1 KILL
node_run kladno-c-1
wait_for "restart with the store unavailable" 20 is_ready kladno-c-1 \
  || fail "not ready with the store unavailable"
[ "$(state kladno-c-1 version)" = 3 ] || fail "restarted with an older version"
store_control "outage=0"

# A store that is restored to older content is repaired, not followed.
store_control "snapshot=1"
wait_for "apply after the outage" 20 ctl praha-a-1 apply \
  "$(change_document 13)" || fail "a change after the outage was not accepted"
wait_for "version 4 everywhere" 7 all_nodes_at 4 \
  || fail "version 4 is not in force on all nodes"
store_control "restore=1"
restored() {
  local slot sum=0
  for slot in "${NODES[@]}"; do
    sum=$((sum + $(counter "$slot" config_heads_restored)))
  done
  [ "$sum" -ge 1 ]
}
wait_for "head written back" 40 restored \
  || fail "the older head was not overwritten"
all_nodes_at 4 || fail "a node followed the older store"
wait_for "apply after the repair" 20 ctl praha-a-1 apply \
  "$(change_document 14)" || fail "a change after the repair was not accepted"
wait_for "version 5 everywhere" 7 all_nodes_at 5 \
  || fail "version 5 is not in force on all nodes"

versions_only_grow || fail "a version went back"
[ "$(ctl praha-a-1 history | grep -c base=)" -eq 5 ] \
  || fail "history does not list five versions"
echo "versions_test passed"
