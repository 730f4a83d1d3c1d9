#!/usr/bin/env bash
# Tests sidecars that are paused for seconds. Guards against these failures: a
# request whose deadline passed in the pause is run after it; a node whose lease
# ended in the pause is not used again, or its target is; the paused driver of a
# move takes a step back, or changes its outcome, after another node has taken
# the move over.
source "$(dirname "$0")/sidecars.sh"
mesh_begin pause
sidecars_begin

runs() { curl -s "$STORE/control/runs" | cut -d' ' -f1; }

# hop NODE PATH [DEADLINE_MS]: passes a request to the node as another node would.
# The latency objective ends with the deadline: late requests may be refused
# before it.
hop() {
  curl -s -m 6 -o /dev/null -w '%{http_code}\n' \
    -H "Hawthornseam-Hop: orders v1 2 1 2 ${3:-900} 0 0 0" \
    -H "Hawthornseam-Request-Id: p$RANDOM$RANDOM$RANDOM" \
    -H "Hawthornseam-Deadline-Ms: ${3:-900}" "http://127.0.0.1:$(port "$1" 1)$2"
}

# gauge NODE NAME VALUE: tells whether a gauge of the node has this value.
gauge() {
  curl -s -m 1 "http://127.0.0.1:$(port "$1" 5)/metrics" \
    | grep -qx "hawthornseam_$2 $3"
}

# status_of_move: state in the outcome that operators read.
status_of_move() {
  curl -s "$STORE/api/kv-range?Prefix=status/rollout/" \
    | sed 's/.*"Value":"\([^"]*\)".*/\1/' | base64 -d 2>/dev/null \
    | sed 's/.*"State":"\([a-z_]*\)".*/\1\n/'
}

for i in 0 1 2; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "target 1 serves" 5 test "$(hop 1 /read/1)" || fail "no request is answered"
wait_for "first answer" 5 answers 0 /read/1 200 || fail "no request is answered"

# Four requests take all slots of the target, two more wait. The node is paused
# until the deadlines of all have passed. The requests run for longer than it
# takes to see that all of them are there.
before=$(runs)
for n in 1 2 3 4; do hop 1 /seal/slow-2s$n 3000 >/dev/null & done
wait_for "four requests run" 1 gauge 1 gate_running 4 || fail "four requests do not run"
for n in 5 6; do hop 1 /seal/queued$n 3000 >>"$RUN/queued" & done
wait_for "two requests wait" 1 gauge 1 gate_waiting 2 || fail "two requests do not wait"
expect "requests run before the pause" "$(($(runs) - before))" 4
send_signal s1 STOP
sleep 3.5
send_signal s1 CONT
sleep 1
expect "requests run around the pause" "$(($(runs) - before))" 4
wait_for "answers of the queued requests" 5 test "$(grep -c 503 "$RUN/queued")" = 2 || fail "queued requests: $(cat "$RUN/queued")"

# The lease of a node ends in a pause of 9 s. Meanwhile its target isn't used;
# two seconds after the pause it is again.
send_signal s2 STOP
for n in 1 2 3 4 5 6; do report_all 0 1; sleep 1.5; done
for n in $(seq 1 6); do expect "while node 2 is paused" "$(ask 0 /read/$n)" "200 i-b"; done
send_signal s2 CONT
report_all
sleep 2
report_all
used() { [[ "$(ask 0 /read/x)" = "200 i-c" ]]; }
wait_for "target 2 is used again" 3 used || fail "the node is not used after its pause"

# The driver of a move is paused until another node has taken the move over.
VERSIONS[1]=v2
report_all
sleep 0.7
curl -s -X POST "$STORE/control/put?op/rollout/orders" -d '{"Service":"orders","TargetVersion":"v2","Duration":"16s"}'
driver=
for n in $(seq 1 30); do
  report_all
  for i in 0 1 2; do grep -q "event=move_write" "$RUN/s$i.out" && driver=$i; done
  [ -n "$driver" ] && break
  sleep 0.1
done
[ -n "$driver" ] || fail "no node drives the move"
others=(0 1 2)
unset "others[$driver]"
send_signal "s$driver" STOP
: >"$RUN/states"
ended=
for n in $(seq 1 100); do
  # shellcheck disable=SC2086
  report_all ${others[*]}
  [ -n "$ended" ] && report_all
  for i in ${others[*]}; do ask "$i" "/read/$n" >/dev/null; done
  status_of_move >>"$RUN/states"
  if [ -z "$ended" ] && grep -q "event=move_write" $(printf "$RUN/s%s.out " ${others[*]}); then
    sleep 1
    send_signal "s$driver" CONT
    ended=1
  fi
  grep -q "complete\|rolled_back" "$RUN/states" && break
  sleep 0.15
done
[ -n "$ended" ] || send_signal "s$driver" CONT
for n in 1 2 3 4; do report_all; status_of_move >>"$RUN/states"; sleep 0.5; done
outcomes=$(grep -v running "$RUN/states" | sort -u | tr '\n' ' ')
[[ "$outcomes" = "complete " || "$outcomes" = "rolled_back " ]] \
  || fail "outcomes of one move: '$outcomes'"
grep -A1 "complete\|rolled_back" "$RUN/states" | grep -q running && fail "an ended move runs again"
# Steps of all nodes in the order of their records; a step back would mean that
# two drivers act.
shares=$(grep -h "event=move_step .*phase=0" "$RUN"/s?.out \
  | sed 's/.*share_bp=\([0-9]*\) revision=\([0-9]*\).*/\2 \1/' | sort -nu | cut -d' ' -f2)
[ "$shares" = "$(sort -n <<<"$shares")" ] || fail "shares went back: $(tr '\n' ' ' <<<"$shares")"
read -r total twice crashed < <(curl -s "$STORE/control/runs")
[ "$twice" = 0 ] || fail "$twice of $total requests ran twice"
echo "passed: $total requests, driver $driver, taken over: ${ended:-no}, outcome $outcomes"
