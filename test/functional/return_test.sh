#!/usr/bin/env bash
# Tests what a restarted sidecar takes over from its previous process. Guards
# against these failures: a target that announced its end is in use again
# because a delayed report reaches the new process, with the store reachable or
# not; a delayed report of a replaced target is taken for the current one; a
# leave is acknowledged before the store or another node has it, and lost with
# the process.
source "$(dirname "$0")/sidecars.sh"
mesh_begin return
sidecars_begin

# report_of NODE INSTANCE BORN SEQUENCE STATE: one report; prints the status.
report_of() {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST \
    "http://127.0.0.1:$(port "$1" 3)/api/instances/$2/heartbeat" \
    -d "{\"Address\":\"127.0.0.1:$(port "$1" 4)\",\"Info\":{\"Service\":\"orders\",\"Version\":\"v1\",\"Zone\":\"z\",\"Capacity\":4},\"Status\":{\"State\":\"$5\",\"SeqNo\":$4,\"ColdLeft\":\"0ms\"},\"born\":$3}"
}

# hop NODE [ADDRESS PORT]: passes a request to the node as another node would
# that still sees the target as ready; prints the status.
hop() {
  curl -s -m 3 -o /dev/null -w '%{http_code}' \
    -H "Hawthornseam-Hop: orders v1 0 1 2 3 0 ${2:-0} ${3:-0}" \
    -H "Hawthornseam-Request-Id: h$RANDOM$RANDOM" -H 'Hawthornseam-Deadline-Ms: 1000' \
    "http://127.0.0.1:$(port "$1" 1)/read/x"
}

hops() { [ "$(hop "$1")" = "$2" ]; }

restart() {
  stop "s$1" KILL
  sidecar_run "$1"
  wait_for "node $1 has the configuration" 5 ready "$1" || fail "node $1 is not ready after its restart"
}

for i in 0 1 2; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report 0 ready >/dev/null
report_of 1 i-b 1000 7 ready >/dev/null
report_of 2 i-c 2000 7 ready >/dev/null
wait_for "target 1 serves" 5 answers 0 /read/1 200 || fail "no request is answered"
sleep 0.5

# A report of before the leave arrives after the restart.
expect "leave acknowledged" "$(report_of 1 i-b 1000 9 draining)" 200
restart 1
expect "delayed report" "$(report_of 1 i-b 1000 8 ready)" 200
sleep 0.7
expect "target that left before the restart" "$(hop 1)" 503
expect "the same, later" "$(report_of 1 i-b 1000 10 ready)" 200
expect "target that left" "$(hop 1)" 503

# The next incarnation is used, also under the same name.
expect "next incarnation" "$(report_of 1 i-b 3000 1 ready)" 200
expect "request of the next incarnation" "$(hop 1)" 200

# A report of the replaced target arrives after another restart.
sleep 0.5
restart 1
report_of 1 i-b 1000 11 ready >/dev/null
sleep 1
expect "replaced target" "$(hop 1)" 503
report_of 1 i-b 3000 2 ready >/dev/null
expect "current target" "$(hop 1)" 200

# The leave is announced without a report, right after a restart.
restart 2
curl -s -m 2 -o /dev/null -X POST "http://127.0.0.1:$(port 2 3)/api/instances/i-c/deregister" -d '{}'
report_of 2 i-c 2000 8 ready >/dev/null
sleep 1
expect "target that left before its first report" "$(hop 2)" 503
expect "its next incarnation" "$(report_of 2 i-c 4000 1 ready)$(hop 2)" 200200

# The store is unreachable when the node restarts: another node's view tells of
# the leave. Until then the node passes nothing on.
expect "leave acknowledged" "$(report_of 1 i-b 3000 3 draining)" 200
knows_of_leave() { grep "event=entry node=node-1 " "$RUN/s0.out" | tail -n 1 | grep -q "state=2"; }
wait_for "node 0 knows of it" 3 knows_of_leave || fail "node 0 does not see the leave"
curl -s -X POST "$STORE/control/away?1"
stop s1 KILL
sidecar_run 1
wait_for "node 1 listens" 5 curl -s -o /dev/null "http://127.0.0.1:$(port 1 3)/"
report_of 1 i-b 3000 2 ready >/dev/null
expect "nothing known yet" "$(hop 1 2130706433 "$(port 0 1)")" 503
sleep 0.5
expect "leave known from another node" "$(hop 1 2130706433 "$(port 0 1)")" 503
grep -q "event=view_from_peer" "$RUN/s1.out" || fail "no view from another node"
# The store does not answer: the leave is acknowledged all the same, within the
# second that the target waits.
curl -s -X POST "$STORE/control/away?0"
report 0 ready >/dev/null
sleep 1
curl -s -X POST "$STORE/control/silent?1"
report_of 0 i-a 1000 900 draining >"$RUN/code"
expect "leave without an answer of the store" "$(cat "$RUN/code")" 200
curl -s -X POST "$STORE/control/silent?0"

# A leave that is acknowledged while the store is away, and a node that is killed
# right after that: the next process learns of the leave from the nodes that hold
# its notice, and keeps to it when the store is back.
sleep 2.5
expect "current target" "$(report_of 1 i-b 5000 1 ready)" 200
wait_for "it is used" 5 hops 1 200 || fail "the new target of node 1 is not used"
sleep 1
curl -s -X POST "$STORE/control/away?1"
sleep 0.5
expect "leave acknowledged without the store" \
  "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -X POST "http://127.0.0.1:$(port 1 3)/api/instances/i-b/deregister" -d '{}')" 200
stop s1 KILL
sidecar_run 1
wait_for "node 1 listens" 5 curl -s -o /dev/null "http://127.0.0.1:$(port 1 3)/"
expect "delayed report without the store" "$(report_of 1 i-b 5000 2 ready)" 200
for attempt in 1 2 3 4 5; do
  expect "target that left without the store, $attempt" "$(hop 1 2130706433 "$(port 0 1)")" 503
  sleep 0.3
done
grep -q "event=view_from_peer" "$RUN/s1.out" || fail "no view from another node"
curl -s -X POST "$STORE/control/away?0"
for attempt in 1 2 3 4 5 6; do
  expect "the same with the store, $attempt" "$(hop 1)" 503
  sleep 0.4
done
expect "its next incarnation" "$(report_of 1 i-b 6000 1 ready)" 200
wait_for "it is used" 5 hops 1 200 || fail "the next incarnation is not used"

# The same for a target of which the process has had no report, with the store
# reachable: the entry is the one of the process before.
sleep 1
stop s1 KILL
sidecar_run 1
wait_for "node 1 has the configuration" 5 ready 1 || fail "node 1 is not ready"
sleep 0.5
expect "leave before a report" \
  "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -X POST "http://127.0.0.1:$(port 1 3)/api/instances/i-b/deregister" -d '{}')" 200
stop s1 KILL
sidecar_run 1
wait_for "node 1 has the configuration" 5 ready 1 || fail "node 1 is not ready"
sleep 0.3
expect "delayed report" "$(report_of 1 i-b 6000 2 ready)" 200
sleep 0.5
expect "target that left before a report" "$(hop 1)" 503

# Neither the store nor another node can record a leave: no acknowledgement.
expect "current target" "$(report_of 1 i-b 7000 1 ready)" 200
wait_for "it is used" 5 hops 1 200 || fail "the new target of node 1 is not used"
curl -s -X POST "$STORE/control/away?1"
stop s0 KILL
stop s2 KILL
sleep 0.5
expect "leave that nobody records" \
  "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST "http://127.0.0.1:$(port 1 3)/api/instances/i-b/deregister" -d '{}')" 503
sleep 0.6
expect "it gets nothing all the same" "$(hop 1)" 503
echo "passed"
