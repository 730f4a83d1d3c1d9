#!/usr/bin/env bash
# Guards against: a non-idempotent request that runs twice, at one target or at
# two, when a target or an owner of claims dies, a node is paused until the
# others declare it dead, or the store loses responses or is unavailable; a
# request that runs, at once or later, although every response to it was
# `not-run`.
source "$(dirname "$0")/mesh.sh"
mesh_begin claims
TARGET_OPTIONS="--print-keys --service-ms 60"
mesh_six
ctl praha-a-1 apply "$RUN/zapis.yaml" >/dev/null \
  || fail "the first configuration was not accepted"
wait_for "version 1 everywhere" 7 all_nodes_at 1 \
  || fail "version 1 is not in force on all nodes"
wait_for "six targets" 10 all_see_targets zapisy v1 6 \
  || fail "not all targets are ready"

# executions: prints the keys of all executions at all targets, including
# targets that were killed.
executions() { cat "$RUN"/target-*.out | sort; }
granted_by() {
  local count
  count=$(counter "$1" claim_owner_granted)
  [ "${count:-0}" -gt "$2" ]
}
# owners: prints the nodes that have granted claims, without those that get the
# load.
owners() {
  local slot
  for slot in praha-a-2 praha-b-1 praha-b-2 kladno-c-2; do
    granted_by "$slot" 0 && echo "$slot"
  done
}
two_owners() { [ "$(owners | wc -l)" -ge 2 ]; }
granted() {
  local slot sum=0 count
  for slot in "${NODES[@]}"; do
    count=$(counter "$slot" claim_owner_granted)
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}
grants_above() { [ "$(granted)" -gt "$1" ]; }
more_grants() { wait_for "more grants" 20 grants_above $(($(granted) + $1)); }

load_start load "praha-a-1 kladno-c-1" --concurrency 32 --duration-s 60 \
  --deadline-ms 3000 --repeat-share 0.5 --key-log "$RUN/load.keys" \
  --path 1:POST:/zapisy/write/minutes --body-bytes 200
wait_for "claims at two owners" 10 two_owners \
  || fail "claims were not granted by two owners"

# The same keys are sent through three nodes at once.
now=$(date +%s)
for number in $(seq 1 12); do
  for slot in praha-a-1 praha-b-1 kladno-c-2; do
    curl -s -m 10 -o /dev/null -X POST -d seal \
      -H "Idempotency-Key: $now-sentatonce$number" \
      "http://127.0.0.1:$(call_port "$slot")/zapisy/write/seal" &
    senders[${#senders[@]}]=$!
  done
done
wait "${senders[@]}"

in_flight() { [ "$(target_figure "$1" in_use)" -ge 2 ]; }
for slot in praha-a-1 kladno-c-2; do
  wait_for "calls at the target of $slot" 20 in_flight "$slot" \
    || fail "no calls in flight"
  stop "target-$slot" KILL
done
more_grants 100 || fail "no grants after the death of a target"
mesh_target praha-a-1 zapisy v1
mesh_target kladno-c-2 zapisy v1

mapfile -t owner < <(owners)
echo "killed owner ${owner[0]}, paused owner ${owner[1]}"
stop "${owner[0]}" KILL
more_grants 100 || fail "no grants after the death of an owner"

# An owner and a node with calls in progress are paused until the other nodes
# have declared them dead.
zones_have_dead_members() {
  local zone
  for zone in "$@"; do
    curl -s -m 2 "http://127.0.0.1:$(admin_port praha-a-1)/status" \
      | tr -d ' \n' | grep -o '"members":.*"zones"' \
      | grep -q "\"$zone\":{[^}]*\"dead\"" || return 1
  done
}
kill -STOP "${PID[${owner[1]}]}" "${PID[kladno-c-1]}"
wait_for "paused nodes are dead" 20 zones_have_dead_members \
  "${ZONE[${owner[1]}]}" kladno-c \
  || fail "a paused node is not detected as dead"
kill -CONT "${PID[${owner[1]}]}" "${PID[kladno-c-1]}"
more_grants 50 || fail "no grants after the pause"

# The store loses responses, and is then unavailable.
store_control "drop_answers=5"
more_grants 50 || fail "no grants after lost responses"
store_control "drop_answers=0"
store_control "outage=1"
for number in $(seq 1 6); do
  curl -s -m 10 -o /dev/null -D - -X POST -d seal \
    -H "Idempotency-Key: $(date +%s)-storeisout$number" \
    -H "Hawthornseam-Deadline-Ms: 1000" \
    "http://127.0.0.1:$(call_port praha-a-1)/zapisy/write/seal" \
    >"$RUN/refused-$number" &
  refusals[number]=$!
done
wait "${refusals[@]}"
for number in $(seq 1 6); do
  grep -qi '^Hawthornseam-Outcome: not-run' "$RUN/refused-$number" \
    || fail "with the store unavailable: $(tr -d '\r' <"$RUN/refused-$number")"
done
store_control "outage=0"
more_grants 50 || fail "no grants after the outage"
load_stop load

executions >"$RUN/executions"
[ "$(wc -l <"$RUN/executions")" -ge 300 ] || fail "too few executions"
uniq -d "$RUN/executions" >"$RUN/twice"
[ -s "$RUN/twice" ] && fail "ran twice: $(head -n 3 "$RUN/twice" | tr '\n' ' ')"
grep -q storeisout "$RUN/executions" && fail "a refused call ran later"
# Keys of which every call was answered with not-run or never sent.
awk '{ if ($2 == "not_run" || $2 == "not_connected") refused[$1] = 1
       else sent[$1] = 1 }
  END { for (key in refused) if (!(key in sent)) print key }' \
  "$RUN/load.keys" | sort >"$RUN/not-run"
comm -12 "$RUN/not-run" "$RUN/executions" >"$RUN/ran-anyway"
[ -s "$RUN/ran-anyway" ] \
  && fail "not-run but ran: $(head -n 3 "$RUN/ran-anyway" | tr '\n' ' ')"
[ "$(load_figure load recorded)" -gt 0 ] \
  || fail "no answer from the record of a claim"
echo "$(wc -l <"$RUN/executions") executions," \
  "$(wc -l <"$RUN/not-run") keys not run"
echo "claims_test passed"
