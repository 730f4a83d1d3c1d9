#!/usr/bin/env bash
# Tests the evacuation of an availability zone. Guards against these failures: a
# target in an evacuated zone gets requests, also from a node that does not know of
# the evacuation or after a restart of its own node; requests are lost or refused
# while another zone has targets; a zone that was taken back stays empty, or its
# cold targets get all requests at once.
source "$(dirname "$0")/sidecars.sh"
mesh_begin evacuation
SERVICES=(orders orders orders)
sidecars_begin

# instances COUNT: prints the targets that answered, one each line.
instances() {
  local n
  for n in $(seq "$1"); do ask $((n % 3)) "/read/$RANDOM" | cut -d' ' -f2; done | sort -u | tr '\n' ' '
}
instances_are() { [ "$(instances "$2")" = "$1" ]; }

SETTINGS_EXTRA="cold_slack: 2"
for i in 0 1 2; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
(while sleep 1; do report_all; done) 2>/dev/null &
REPORTS=$!
trap 'kill $REPORTS 2>/dev/null; mesh_end' EXIT
wait_for "all targets in use" 10 instances_are "i-a i-b i-c " 30 || fail "not all targets are in use"

# Zone z0 has the targets i-a and i-c.
curl -s -X POST "$STORE/control/put?op/evacuate/z0" -d '{}'
wait_for "evacuation" 3 instances_are "i-b " 30 || fail "an evacuated zone gets requests: $(instances 30)"
for n in $(seq 20); do expect "request during the evacuation" "$(ask 2 /seal/e$n)" "200 i-b"; done

# A node that was restarted meanwhile must not forget it.
send_signal s0 KILL
wait_for "end of node 0" 5 has_ended "${PID[s0]}"
sidecar_run 0
wait_for "node 0 again" 10 ready 0 || fail "node 0 is not ready"
sleep 1.2 # a report of its target
expect "after a restart" "$(instances 30)" "i-b "
hop="orders v1 0 1 7 200 0 $((127 * 16777216 + 1)) $(port 1 1)"
expect "request of a node that does not know of it" "$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
  -H 'Host: a.example' -H "Hawthornseam-Hop: $hop" -H 'Hawthornseam-Request-Id: late' \
  "http://127.0.0.1:$(port 0 1)/read/late")" 503

# A full read of the store in place of a watch.
curl -s -X POST "$STORE/control/compact"
sleep 1
expect "after a full read" "$(instances 30)" "i-b "

curl -s -X POST "$STORE/control/remove?op/evacuate/z0"
wait_for "zone taken back" 5 instances_are "i-a i-b i-c " 30 || fail "a zone that was taken back stays empty"
echo "passed"
