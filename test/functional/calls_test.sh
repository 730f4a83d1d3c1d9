#!/usr/bin/env bash
# Guards against: responses that are truncated, swapped or reported as complete
# when they are not; a draining target that gets new calls from its node; a drain
# of a target or a node that interrupts a call or a download; idempotent calls
# that fail although another target could run them; a frozen target that keeps
# getting calls, or gets none after it has resumed.
source "$(dirname "$0")/mesh.sh"
mesh_begin calls
mesh_six
mesh_node praha-b-3 praha-b cz-central 6
mesh_node kladno-c-3 kladno-c cz-central 7
for slot in praha-b-3 kladno-c-3; do
  wait_for "$slot is ready" 20 is_ready "$slot" \
    || fail "$slot did not become ready"
done
ctl praha-a-1 apply "$RUN/zapis.yaml" >/dev/null \
  || fail "the first configuration was not accepted"
wait_for "version 1 everywhere" 7 all_nodes_at 1 \
  || fail "version 1 is not in force on all nodes"
mesh_target praha-b-3 archiv v1 --slots 16
wait_for "six targets of zapisy" 10 all_see_targets zapisy v1 6 \
  || fail "the targets of zapisy are not ready"
wait_for "a target of archiv" 10 all_see_targets archiv v1 1 \
  || fail "the target of archiv is not ready"

# Downloads have 64 MB, more than the sockets and nodes on the path can buffer.
# Their content is a function of the request id.
DOWNLOAD='/archiv/download/volume?bytes=64000000'
download() { curl -sf -H "X-Request-Id: volume" "$@"; }
download -o "$RUN/whole" \
  "http://127.0.0.1:$(target_port praha-b-3)$DOWNLOAD" \
  || fail "download from the target itself failed"

# download_start NAME NODE: starts a download by a slow reader, in the
# background.
declare -A READER=()
download_start() {
  download -m 40 --limit-rate 12M -o "$RUN/$1" \
    "http://127.0.0.1:$(call_port "$2")$DOWNLOAD" &
  READER[$1]=$!
  wait_for "first bytes of $1" 10 test -s "$RUN/$1" \
    || fail "download $1 does not start"
}
download_end() {
  wait "${READER[$1]}" || fail "download $1: curl exits with $?"
  cmp -s "$RUN/$1" "$RUN/whole" || fail "download $1 differs"
}

# Without a fault all calls run.
load_start quiet "praha-a-1 praha-b-1 kladno-c-1" --concurrency 24 \
  --count 6000 --unique --path 4:GET:/zapisy/1 \
  --path 1:GET:'/zapisy/2?bytes=100000&framing=chunked' \
  --path 1:GET:'/zapisy/3?depth=2&next=/zapisy/4'
load_end quiet
[ "$(load_figure quiet ran)" -eq 6000 ] || fail "calls failed without a fault"

# A target drains with a call and a download in flight.
download_start drained-target kladno-c-1
load_start slow kladno-c-2 --count 1 --path 1:GET:'/archiv/download/x?ms=2500'
in_use_is() { [ "$(target_figure "$1" in_use)" = "$2" ]; }
wait_for "two calls in flight" 10 in_use_is praha-b-3 2 \
  || fail "the call and the download are not in flight"
mesh_target kladno-c-3 archiv v1 --slots 16
wait_for "two targets of archiv" 10 all_see_targets archiv v1 2 \
  || fail "the second target of archiv is not ready"
# Calls continue while the other nodes learn of the drain. The node logs how
# many calls it had forwarded to its target when the drain began.
load_start drain "praha-a-1 praha-a-2 kladno-c-1" --concurrency 16 \
  --duration-s 30 --unique --path 1:GET:/archiv/1
admitted_above() {
  local count
  count=$(counter "$1" calls_admitted)
  [ "${count:-0}" -gt "$2" ]
}
admitted=$(counter praha-b-3 calls_admitted)
wait_for "calls at the target" 10 admitted_above praha-b-3 $((admitted + 50)) \
  || fail "no calls before the drain"
kill -TERM "${PID[target-praha-b-3]}"
target_state_is() {
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/state" | tr -d ' \n' \
    | grep -q "\"target\":{[^}]*\"state\":\"$2\""
}
wait_for "drain at the node" 5 target_state_is praha-b-3 draining \
  || fail "the node does not drain its target"
admitted=$(counter kladno-c-3 calls_admitted)
wait_for "calls at the other target" 10 admitted_above kladno-c-3 \
  $((admitted + 1000)) || fail "no calls during the drain"
load_stop drain
failed=$(($(load_figure drain calls) - $(load_figure drain ran)))
[ "$failed" -eq 0 ] || fail "$failed calls failed during the drain"
admitted=$(sed -nE 's/.* to=draining admitted=([0-9]+).*/\1/p' \
  "$RUN/praha-b-3.log")
[ "$(counter praha-b-3 calls_admitted)" = "$admitted" ] \
  || fail "the draining target got new calls"
has_ended "${PID[target-praha-b-3]}" && fail "the target ended before its calls"
load_end slow
[ "$(load_figure slow ran)" -eq 1 ] || fail "the call in flight was interrupted"
download_end drained-target
wait_for "end of the drained target" 10 has_ended "${PID[target-praha-b-3]}" \
  || fail "the drained target does not end"

# The caller's node and the target's node drain during downloads.
download_start caller-node praha-a-2
download_start target-node praha-a-1
kill -TERM "${PID[praha-a-2]}" "${PID[kladno-c-3]}"
download_end caller-node
download_end target-node
for slot in praha-a-2 kladno-c-3; do
  wait_for "end of $slot" 10 has_ended "${PID[$slot]}" \
    || fail "$slot does not end after its downloads"
done

# A target, then a node, are killed under load.
mapfile -t NODES < <(printf '%s\n' "${NODES[@]}" \
  | grep -vxE 'praha-a-2|kladno-c-3')
load_start killed "praha-a-1 kladno-c-1" --concurrency 32 --duration-s 40 \
  --unique --path 1:GET:'/zapisy/1?ms=20' \
  --path 1:GET:'/zapisy/2?bytes=200000&ms=20'
in_use_above() { [ "$(target_figure "$1" in_use)" -ge "$2" ]; }
wait_for "load at the target" 10 in_use_above praha-b-1 2 \
  || fail "no calls at the target"
stop target-praha-b-1 KILL
wait_for "target is down" 10 target_state_is praha-b-1 down \
  || fail "the killed target is not detected as down"
wait_for "load at the target" 10 in_use_above praha-b-2 2 \
  || fail "no calls at the target"
stop praha-b-2 KILL
mapfile -t NODES < <(printf '%s\n' "${NODES[@]}" | grep -vx praha-b-2)
targets_everywhere() { all_see_targets zapisy v1 "$1"; }
wait_for "three targets are left" 20 targets_everywhere 3 \
  || fail "the target of the dead node is still ready"
load_stop killed
# A response that was forwarded in part is truncated; the load generator counts
# every call that failed.
failed=$(($(load_figure killed calls) - $(load_figure killed ran)))
retried=$(($(counter praha-a-1 calls_retried) \
  + $(counter kladno-c-1 calls_retried)))
echo "killed: $failed of $(load_figure killed calls) failed," \
  "$retried retried, $(load_figure killed not_run) not run," \
  "$(load_figure killed unknown) unknown"
[ "$retried" -gt 0 ] || fail "nothing was retried"
# A call may fail only if both of its attempts hit a fault.
[ $((2 * failed)) -le "$retried" ] || fail "calls failed despite retries"

# A frozen target is avoided, and used again after it has resumed.
kill -STOP "${PID[target-kladno-c-2]}"
load_start frozen "praha-a-1 kladno-c-1" --concurrency 16 --duration-s 4 \
  --unique --path 1:GET:'/zapisy/1?ms=5'
load_end frozen
echo "frozen: $(load_figure frozen ran) of $(load_figure frozen calls) ran"
wait_for "frozen target is down" 20 target_state_is kladno-c-2 down \
  || fail "the frozen target is not detected as down"
wait_for "two targets are left" 10 targets_ready praha-a-1 zapisy v1 2 \
  || fail "the frozen target is still seen as ready"
wait_for "two targets are left" 10 targets_ready kladno-c-1 zapisy v1 2 \
  || fail "the frozen target is still seen as ready"
admitted=$(counter kladno-c-2 calls_admitted)
load_start avoided "praha-a-1 kladno-c-1" --concurrency 16 --count 2000 \
  --unique --path 1:GET:/zapisy/1
load_end avoided
[ "$(load_figure avoided ran)" -eq 2000 ] || fail "calls failed at other targets"
[ "$(counter kladno-c-2 calls_admitted)" -eq "$admitted" ] \
  || fail "the frozen target got calls"
kill -CONT "${PID[target-kladno-c-2]}"
wait_for "target is back" 10 target_state_is kladno-c-2 ready \
  || fail "the resumed target is not ready again"
load_start back "praha-a-1 kladno-c-1" --concurrency 16 --duration-s 30 \
  --unique --path 1:GET:/zapisy/1
used_again() {
  [ "$(counter kladno-c-2 calls_admitted)" -gt $((admitted + 50)) ]
}
wait_for "calls at the target" 20 used_again || fail "the target is not used"
load_stop back
echo "calls_test passed"
