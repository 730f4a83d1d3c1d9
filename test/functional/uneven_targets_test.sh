#!/usr/bin/env bash
# Tests the speed figure of targets with sidecars as processes on loopback.
# Guards against these failures: a node reports a figure that its target did not
# state, does not report one that it did, or believes a malformed one; a target
# that refuses requests at once looks fast; the target's header does not reach
# callers unchanged; the load of the node does.
source "$(dirname "$0")/sidecars.sh"
mesh_begin uneven
sidecars_begin

for i in 0 1; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all 0 1
wait_for "first answer" 10 answers 0 /read/1 200 || fail "no request is answered"

# peer_load PATH: sends a request to node 1 as another node does; prints the
# load that it reports.
peer_load() {
  curl -s -m 3 -D - -o /dev/null -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $(date +%s%N)" \
    -H "Hawthornseam-Hop: orders v1 0 1 7 500 0 2130706433 $(port 0 1)" \
    "http://127.0.0.1:$(port 1 1)$1" | tr -d '\r' | sed -n 's/^Hawthornseam-Load: //p'
}
# caller_header PATH NAME: prints a header that a caller gets.
caller_header() {
  curl -s -m 3 -D - -o /dev/null -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $(date +%s%N)" \
    "http://127.0.0.1:$(port 0 0)$1" | tr -d '\r' | sed -n "s/^$2: //p"
}
malformed() {
  curl -s "http://127.0.0.1:$(port 1 5)/metrics" | grep -E '^[a-z_]*run_load_malformed' | grep -oE '[0-9]+$'
}

four='^[0-9]+,[0-9]+,4,[0-9]+$'
five='^[0-9]+,[0-9]+,4,[0-9]+,250$'
[[ $(peer_load /read/2) =~ $four ]] || fail "load without a figure: '$(peer_load /read/2)'"
[[ $(peer_load /read/load-odd) =~ $four ]] || fail "a malformed figure is passed on"
expect "malformed loads" "$(malformed)" 1
# The service time at the usual speed is known after the second response.
peer_load /read/load-250 >/dev/null
peer_load /read/load-250 >/dev/null
[[ $(peer_load /read/load-250) =~ $five ]] || fail "load with a figure: '$(peer_load /read/load-250)'"
[[ $(peer_load /read/3) =~ $five ]] || fail "the newest figure is not kept"
curl -s "http://127.0.0.1:$(port 1 5)/metrics" | grep -qx 'hawthornseam_target_speed_percent 250' || fail "the figure is not among the metrics"
expect "header for callers" "$(caller_header /read/load-250 Hawthornseam-Server-Load)" "1,0,4,250"
expect "node's load for callers" "$(caller_header /read/load-250 Hawthornseam-Load)" ""
sleep 2.2
[[ $(peer_load /read/4) =~ $four ]] || fail "an old figure is passed on: '$(peer_load /read/4)'"
for n in 1 2 3; do peer_load /read/load-250 >/dev/null; done
[[ $(peer_load /read/5) =~ $five ]] || fail "no figure after a pause"

# Refusals by the target, which come at once, are no service times.
for n in 1 2 3 4; do peer_load /read/slow-load-250 >/dev/null; done
before=$(peer_load /read/slow-load-250 | cut -d, -f4)
[ "$before" -gt 20000 ] || fail "service time after slow requests: $before us"
for n in $(seq 20); do peer_load /read/load-shed >/dev/null; done
after=$(peer_load /read/load-shed | cut -d, -f4)
[ "$after" -ge "$before" ] || fail "refusals shorten the service time: $before, then $after us"

# A new incarnation of the target starts without the figure of the last one.
curl -s -m 2 -o /dev/null -X POST \
  "http://127.0.0.1:$(port 1 3)/api/instances/i-b/heartbeat" \
  -d "{\"Address\":\"127.0.0.1:$(port 1 4)\",\"Info\":{\"Service\":\"orders\",\"Version\":\"v1\",\"Zone\":\"z\",\"Capacity\":4},\"Status\":{\"State\":\"ready\",\"SeqNo\":1,\"ColdLeft\":\"0ms\"},\"born\":5000}"
[[ $(peer_load /read/6) =~ $four ]] || fail "the figure of an earlier target is passed on"
for n in $(seq 40); do
  [[ "$(ask 0 /read/load-250)" = 200* ]] || fail "a request failed"
done
echo "uneven targets: passed"
