#!/usr/bin/env bash
# Tests the planned stop of a node in calm, for several lengths of the grace. Guards
# against this failure: requests that come late in the grace are passed on and, at its
# end, cut without an answer, among them requests that may not be repeated.
source "$(dirname "$0")/sidecars.sh"
mesh_begin planned-stop
SERVICES=(orders orders orders)
CAPACITY=400
platform_begin
for i in 1 2; do sidecar_run $i; done
TIMEOUT=30000ms put_config 0000000a orders
for i in 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done

for grace in ${GRACES:-600 1000 2000 3000 6000 10000}; do
  SETTINGS_EXTRA="grace: ${grace}ms" sidecar_run 0
  wait_for "ready 0" 10 ready 0 || fail "node 0 is not ready"
  # The targets' reports go on during the stop; the subshell has its own SEQUENCE.
  SEQUENCE=$((SEQUENCE + 1000))
  (while sleep 1; do report_all; done) 2>/dev/null &
  reports=$!
  sleep 1.7
  "$BIN/standin-planned_stop" "$(port 0 0)" "$(port 1 0)" "${PID[s0]}" $grace \
    "$(port 0 4)" "$(port 1 4)" "$(port 2 4)" >"$RUN/stop" 2>&1
  status=$?
  kill $reports
  sort "$RUN/stop" | uniq | head -n 12
  [ $status = 0 ] || fail "a planned stop with a grace of $grace ms broke a rule"
  wait_for "end of node 0" 5 has_ended "${PID[s0]}"
  unset "PID[s0]"
done
echo "passed"
