#!/usr/bin/env bash
# Guards against this failure: the store comes back from an older copy, and the
# nodes ignore what is written to it afterwards, or are missing from it.
source "$(dirname "$0")/sidecars.sh"
mesh_begin store-restore
sidecars_begin

VERSION=16
ROUTED=menu

# put_next: writes the next version, which routes to the other service.
put_next() {
  VERSION=$((VERSION + 1))
  [ $ROUTED = menu ] && ROUTED=orders || ROUTED=menu
  put_config "$(printf %08x $VERSION)" $ROUTED
}

# put_others COUNT: writes COUNT other keys of the operator.
put_others() {
  local i
  for ((i = 0; i < $1; i++)); do
    curl -s -X POST "$STORE/control/put?op/other/$((i % 4))" -d "$RANDOM"
  done
}

# in_force NODE: the node serves the version that was written last.
in_force() {
  local instance=i-a
  [ $ROUTED = orders ] && instance='i-[bc]'
  [[ "$(ask "$1" /read/x)" =~ ^200\ $instance ]]
}
all_in_force() { for i in 0 1 2; do in_force $i || return 1; done; }
entries() { curl -s "$STORE/api/kv-range?Prefix=own/node/" | grep -o '"Key"' | wc -l; }

for i in 0 1 2; do sidecar_run $i; done
put_config "$(printf %08x $VERSION)" menu
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first version" 5 all_in_force || fail "the first version is not in force"

# Each row: versions and other keys that are lost, whether the nodes see an outage,
# keys written after the return before and after the new version.
while read -r lost_versions lost_keys outage before after; do
  row="$lost_versions/$lost_keys lost, outage $outage, $before before, $after after"
  report_all
  curl -s -X POST "$STORE/control/copy"
  kept_version=$VERSION kept_routed=$ROUTED
  put_others "$lost_keys"
  for ((k = 0; k < lost_versions; k++)); do put_next; done
  wait_for "lost versions" 3 all_in_force || fail "$row: a version is not in force before the restore"
  if [ "$outage" = yes ]; then
    curl -s -X POST "$STORE/control/away?1"
    sleep 0.4
  fi
  curl -s -X POST "$STORE/control/restore"
  VERSION=$kept_version ROUTED=$kept_routed
  for ((k = 0; k < lost_versions; k++)); do put_next; done
  put_others "$before"
  put_next
  put_others "$after"
  [ "$outage" = yes ] && curl -s -X POST "$STORE/control/away?0"
  report_all
  # The nodes are in touch again, and bound to the version, 3 s after the return.
  sleep 3
  for i in 0 1 2; do
    in_force $i || fail "$row: node $i does not serve the version written after the return"
  done
  expect "$row: entries of nodes" "$(entries)" 3
done <<'ROWS'
0 20 yes 0 0
0 20 yes 0 60
1 20 yes 0 0
1 20 yes 30 60
2 0 yes 0 40
0 20 no 0 60
1 20 no 30 60
ROWS

# A move that has ended stays ended, wherever the copy was taken: its order, its last
# step or its status may be lost. The operator writes a lost order again.
value() { curl -s "$STORE/api/kv-range?Prefix=$1" | sed -nE 's/.*"Value":"([^"]*)".*/\1/p' | base64 -d; }
phase_is() { [[ "$(value own/move/orders)" == *"\"phase\":$1,"* ]]; }
status_is() { [[ "$(value status/rollout/orders)" == *"\"State\":\"$1\""* ]]; }
put_order() {
  curl -s -X POST "$STORE/control/put?op/rollout/orders" \
    -d "{\"Service\":\"orders\",\"TargetVersion\":\"$1\",\"Duration\":\"15s\"}"
}
steps_back() { cat "$RUN"/s?.out | grep -c "event=move_write .*to=$1 phase=0 "; }
ROUTED=orders
while read -r to copied; do
  put_others 3
  report_all
  [ "$copied" = order ] && curl -s -X POST "$STORE/control/copy"
  put_order "$to"
  [ "$copied" = record ] && curl -s -X POST "$STORE/control/copy"
  wait_for "the move runs" 5 phase_is 0 || fail "the move to $to does not start"
  wait_for "status running" 5 status_is running || fail "the move to $to is not told to run"
  [ "$copied" = end ] && curl -s -X POST "$STORE/control/copy"
  curl -s -X POST "$STORE/control/put?own/move/orders" -d "$(value own/move/orders \
    | sed -E 's/"phase":0,"share_bp":[0-9]+/"phase":2,"share_bp":0/')"
  wait_for "status rolled_back" 5 status_is rolled_back || fail "the move to $to does not end"
  before=$(steps_back "$to")
  curl -s -X POST "$STORE/control/restore"
  [ "$copied" = order ] && { put_others 5; put_order "$to"; }
  report_all
  sleep 3
  phase_is 2 || fail "move to $to, copy before its $copied: its record is $(value own/move/orders)"
  status_is rolled_back || fail "move to $to, copy before its $copied: its status is $(value status/rollout/orders)"
  expect "move to $to, copy before its $copied: it starts again" "$(steps_back "$to")" "$before"
done <<'ROWS'
v2 order
v3 record
v4 end
ROWS

# A leave that the store acknowledged, and lost, is known to the node's next process.
report_all
curl -s -X POST "$STORE/control/copy"
expect "leave acknowledged" "$(report 1 draining)" 200
curl -s -X POST "$STORE/control/restore"
sleep 3
stop s1 KILL
sidecar_run 1
wait_for "node 1 is back" 5 ready 1 || fail "node 1 is not ready after its restart"
report 1 ready >/dev/null
sleep 0.5
expect "target that left before the restore" "$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
  -H 'Hawthornseam-Hop: orders v1 0 1 2 3 0 0 0' -H 'Hawthornseam-Request-Id: left-1' \
  -H 'Hawthornseam-Deadline-Ms: 1000' "http://127.0.0.1:$(port 1 1)/read/x")" 503

# The leases are those of the new era: the entries outlast their time to live.
sleep 8
expect "entries after the time to live" "$(entries)" 3
for i in 0 1 2; do
  curl -s "http://127.0.0.1:$(port $i 5)/metrics" | grep -q '^hawthornseam_store_era 11$' \
    || fail "node $i does not report the era of the store"
done
echo "passed"
