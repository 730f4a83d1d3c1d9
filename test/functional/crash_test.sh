#!/usr/bin/env bash
# Guards against: a request that crashes one target after another when it is
# sent again, through the same node or others; a refusal that also affects other
# requests with the same path. Crashed targets are restarted, as the platform
# does.
source "$(dirname "$0")/mesh.sh"
mesh_begin crash
mesh_six
ctl praha-a-1 apply "$RUN/zapis.yaml" >/dev/null \
  || fail "the first configuration was not accepted"
wait_for "version 1 everywhere" 7 all_nodes_at 1 \
  || fail "version 1 is not in force on all nodes"
wait_for "six targets" 10 all_see_targets zapisy v1 6 \
  || fail "not all targets are ready"

crashes=0
# restart_targets: restarts the targets that have ended, and counts them.
restart_targets() {
  local slot
  for slot in "${NODES[@]}"; do
    if has_ended "${PID[target-$slot]}"; then
      crashes=$((crashes + 1))
      mesh_target "$slot" zapisy v1 --slots 12
    fi
  done
}
# send NODE URI [OPTION...]: sends a request and prints "status outcome".
send() {
  local slot=$1 uri=$2
  shift 2
  curl -s -m 10 -o /dev/null -D "$RUN/head" "$@" \
    "http://127.0.0.1:$(call_port "$slot")$uri"
  tr -d '\r' <"$RUN/head" \
    | awk 'NR == 1 { status = $2 }
           tolower ($1) == "hawthornseam-outcome:" { outcome = $2 }
           END { print status, outcome }'
}
# crash_again MAX ANSWER URI [OPTION...]: sends a request three times through
# each node. It may crash at most MAX targets, and the last answer is ANSWER.
crash_again() {
  local max=$1 answer=$2 round slot last before=$crashes
  shift 2
  for round in 1 2 3; do
    for slot in "${NODES[@]}"; do
      last=$(send "$slot" "$@")
      restart_targets
    done
  done
  wait_for "six targets again" 20 all_see_targets zapisy v1 6 \
    || fail "not all targets are ready again"
  restart_targets
  echo "$1: $((crashes - before)) crashes, last answer $last"
  [ $((crashes - before)) -ge 1 ] || fail "$1: nothing crashed"
  [ $((crashes - before)) -le "$max" ] \
    || fail "$1: crashed more than $max targets"
  [ "$last" = "$answer" ] || fail "$1: last answer $last"
}

# Other requests with the same paths but another query continue.
load_start others "praha-a-1 kladno-c-1" --rate 200 --concurrency 16 \
  --duration-s 50 --unique --path 1:GET:'/zapisy/minutes/crash?safe' \
  --path 1:GET:/zapisy/1
crash_again 2 "503 not-run" /zapisy/minutes/crash
crash_again 2 "503 not-run" '/zapisy/minutes/crash?page=2'
crash_again 2 "503 not-run" /zapisy/post/crash -X POST -d minutes
# The first attempt has used its claim.
crash_again 1 "409 unknown" /zapisy/write/crash -X POST -d minutes \
  -H "Idempotency-Key: $(date +%s)-crashesall"
for slot in "${NODES[@]}"; do
  [ "$(send "$slot" '/zapisy/minutes/crash?safe')" = "200 ran" ] \
    || fail "other query refused at $slot"
  [ "$(send "$slot" /zapisy/post/crash -X POST -d safe)" = "200 ran" ] \
    || fail "other body refused at $slot"
  [ "$(send "$slot" /zapisy/write/crash -X POST -d safe \
    -H "Idempotency-Key: $(date +%s)-$slot-other")" = "200 ran" ] \
    || fail "other key refused at $slot"
done
load_stop others
ran=$(load_figure others ran)
calls=$(load_figure others calls)
echo "others: $ran of $calls ran"
[ $((100 * ran)) -ge $((98 * calls)) ] || fail "other calls failed"
echo "crash_test passed"
