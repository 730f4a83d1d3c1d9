#!/usr/bin/env bash
# Tests the quota of an account over three nodes. Guards against these failures:
# the nodes together admit more than the quota allows; a request within the quota
# is rejected; a request over it gets no 429 with Retry-After; an account without
# a limit is limited; the death, pause or restart of the quota's owner stops the account, or lets
# more than the quota through.
source "$(dirname "$0")/sidecars.sh"
mesh_begin quota
sidecars_begin

RATE=20
BURST=10
# In any 5 s window.
BOUND=$(((RATE * 5 + BURST) * 11 / 10 + 20))

put_accounts() {
  local route='"Host":"a.example","RouteType":"safe","Timeout":"1500ms","TargetLatency":"200ms","Priority":1,"Service":"orders","MaxAttempts":2'
  curl -s -X POST "$STORE/control/put?op/config" -d "{\"Version\":\"$1\",\"Routes\":[{\"Name\":\"reads\",\"Prefix\":\"/read/\",$route}],\"Services\":[{\"Name\":\"orders\"}],\"Limits\":{},\"Tenants\":$2}"
}
# report_for SECONDS [NODE...]: sends reports from a subshell. Its sequence
# numbers are not seen by the script, which adds 100 to its own afterwards.
report_for() {
  local k
  for k in $(seq 1 "$1"); do
    report_all "${@:2}"
    sleep 1
  done
}
# status NODE KEY [OPTION...]: sends a request; prints the status.
status() {
  local node=$1 key=$2
  shift 2
  curl -s -m 3 -o /dev/null -w '%{http_code}' "$@" -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $(date +%s%N)-$BASHPID" -H "Api-Key: $key" \
    -H 'Hawthornseam-Deadline-Ms: 1200' "http://127.0.0.1:$(port "$node" 0)/read/1"
}
status_is() { [ "$(status "$2" "$3")" = "$1" ]; }
# flood SECONDS FILE NODE...: sends as many requests as each node answers; writes
# "end time in ms, status" of each.
flood() {
  local seconds=$1 file=$2 node pids=()
  shift 2
  # Several clients for each node: a request may wait for a token.
  for node in "$@" "$@" "$@" "$@" "$@"; do
    (
      end=$(($(date +%s%3N) + seconds * 1000))
      while [ "$(date +%s%3N)" -lt "$end" ]; do
        code=$(status "$node" key-club)
        echo "$(date +%s%3N) $code"
      done
    ) >"$file.${#pids[@]}" &
    pids+=($!)
  done
  wait "${pids[@]}"
  cat "$file".* | sort -n >"$file"
}
# count FILE STATUS: number of responses.
count() { awk -v s="$2" '$2 == s { n++ } END { print n + 0 }' "$1"; }
# worst_window FILE: largest number of admitted requests in 5 s.
worst_window() {
  awk 'BEGIN { n = first = worst = 0 }
       $2 == 200 { t[n++] = $1; while (t[n - 1] - t[first] >= 5000) first++;
                   if (n - first > worst) worst = n - first }
       END { print worst }' "$1"
}
owner_of() {
  curl -s "http://127.0.0.1:$(port 0 5)/" \
    | sed -n 's/^hawthornseam_account_owner{account="club",node="node-\([0-2]\)"} 1$/\1/p'
}
has_owner() { [ -n "$(owner_of)" ]; }

for i in 0 1 2; do sidecar_run $i; done
put_accounts 0000000a "[{\"Name\":\"league\",\"ApiKeys\":[\"key-league\"]},{\"Name\":\"club\",\"ApiKeys\":[\"key-club\"],\"RatePerS\":$RATE,\"Burst\":$BURST}]"
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 status_is 200 0 key-league || fail "no answer for an account without a limit"
wait_for "first token" 10 status_is 200 0 key-club || fail "no answer for an account with a limit"
wait_for "owner" 5 has_owner || fail "the metrics do not show an owner"
OWNER=$(owner_of)

# Within the quota: at about half of the rate, from all nodes in turn.
rejected=
for k in $(seq 1 40); do
  code=$(status $((k % 3)) key-club)
  [ "$code" = 200 ] || rejected="$rejected $k:$code"
  [ $((k % 3)) != 0 ] || report_all
  sleep 0.08
done
expect "rejected within the quota" "$rejected" ""

# Over the quota, at all nodes at once.
report_for 6 &
flood 6 "$RUN/flood" 0 1 2
wait
SEQUENCE=$((SEQUENCE + 100))
echo "flood: 200: $(count "$RUN/flood" 200), 429: $(count "$RUN/flood" 429), 503: $(count "$RUN/flood" 503), worst window: $(worst_window "$RUN/flood") of $BOUND"
[ "$(worst_window "$RUN/flood")" -le "$BOUND" ] || fail "more than the quota was admitted"
[ "$(count "$RUN/flood" 200)" -ge $((RATE * 6 * 8 / 10)) ] || fail "less than the quota was admitted"
[ "$(count "$RUN/flood" 429)" -gt 0 ] || fail "nothing was rejected"
[ "$(count "$RUN/flood" 503)" = 0 ] || fail "requests over the quota got 503"
report_all
retry_after() { status 1 key-club -D - | tr -d '\r' | awk 'tolower($1) == "retry-after:" { print $2 }'; }
flood 2 "$RUN/more" 0 1 2 &
FLOOD=$!
seen=
for _ in $(seq 1 30); do
  seen=$(retry_after)
  [ -z "$seen" ] || break
done
wait "$FLOOD"
[[ "$seen" =~ ^[0-9]+\.[0-9]+$ ]] || fail "a rejection has no Retry-After: '$seen'"
report_all
expect "account without a limit" "$(status 0 key-league)" 200
metrics=$(curl -s "http://127.0.0.1:$(port 1 5)/" | grep -c '^hawthornseam_account_over_quota{account="club"} [1-9]')
expect "rejections in the metrics" "$metrics" 1

# Callers leave while their requests wait for a token, and a node stops while
# requests wait at it: these are answered, and the process ends.
report_all
flood 2 "$RUN/leaving" 0 1 2 &
FLOOD=$!
for k in $(seq 1 60); do
  status $((k % 3)) key-club -m 0.03 >/dev/null &
done
wait "$FLOOD"
wait
for i in 0 1 2; do has_ended "${PID[s$i]}" && fail "node $i ended when callers left"; done
SPARE=$(((OWNER + 1) % 3))
SEQUENCE=$((SEQUENCE + 100))
report_all
flood 2 "$RUN/stopping" "$SPARE" &
FLOOD=$!
sleep 0.5
send_signal "s$SPARE" TERM
wait_for "end of a stopping node" 10 has_ended "${PID[s$SPARE]}"
wait "$FLOOD"
grep -q '"event":"stopped"\|event=stopped' "$RUN/s$SPARE.out" || fail "the stopping node did not end by itself"
sidecar_run "$SPARE"
wait_for "ready again" 10 ready "$SPARE" || fail "node $SPARE is not ready again"
report_all
wait_for "answer after the restart" 10 status_is 200 "$SPARE" key-club || fail "no answer after the restart"
wait_for "owner after the restart" 5 has_owner
OWNER=$(owner_of)
report_all
sleep 2.5 # a node that joins gets the tables after 2 s (QUOTA_YIELD_MS)

# The owner is frozen under load and goes on afterwards.
rest=()
for i in 0 1 2; do [ "$i" = "$OWNER" ] || rest+=("$i"); done
SEQUENCE=$((SEQUENCE + 100))
report_all
report_for 6 "${rest[@]}" &
(
  sleep 1
  send_signal "s$OWNER" STOP
  sleep 3
  send_signal "s$OWNER" CONT
) &
flood 6 "$RUN/frozen" "${rest[@]}"
wait
echo "owner frozen for 3 s: 200: $(count "$RUN/frozen" 200), 429: $(count "$RUN/frozen" 429), 503: $(count "$RUN/frozen" 503), worst window: $(worst_window "$RUN/frozen") of $BOUND"
[ "$(worst_window "$RUN/frozen")" -le "$BOUND" ] || fail "more than the quota was admitted around the owner's pause"
[ "$(count "$RUN/frozen" 200)" -ge $((RATE * 6 / 3)) ] || fail "too little was admitted around the owner's pause"

# The owner is killed under load.
SEQUENCE=$((SEQUENCE + 100))
report_all
report_for 8 "${rest[@]}" &
(sleep 1; send_signal "s$OWNER" KILL) &
flood 8 "$RUN/killed" "${rest[@]}"
wait
echo "owner killed: 200: $(count "$RUN/killed" 200), 429: $(count "$RUN/killed" 429), 503: $(count "$RUN/killed" 503), worst window: $(worst_window "$RUN/killed") of $BOUND"
[ "$(worst_window "$RUN/killed")" -le "$BOUND" ] || fail "more than the quota was admitted after the owner's death"
last=$(awk '$2 == 200 { t = $1 } END { print t }' "$RUN/killed")
first=$(head -n 1 "$RUN/killed")
[ $((last - ${first% *})) -gt 7000 ] || fail "nothing was admitted after the owner's death"
[ "$(count "$RUN/killed" 200)" -ge $((RATE * 8 / 3)) ] || fail "too little was admitted after the owner's death"

# The killed owner starts again under load, with nothing in memory.
SEQUENCE=$((SEQUENCE + 100))
report_all
report_for 8 "${rest[@]}" &
REPORTS=$!
flood 8 "$RUN/restarted" "${rest[@]}" &
FLOOD=$!
sleep 1
sidecar_run "$OWNER"
wait "$FLOOD" "$REPORTS"
echo "owner restarted: 200: $(count "$RUN/restarted" 200), 429: $(count "$RUN/restarted" 429), 503: $(count "$RUN/restarted" 503), worst window: $(worst_window "$RUN/restarted") of $BOUND"
[ "$(worst_window "$RUN/restarted")" -le "$BOUND" ] || fail "more than the quota was admitted after the owner's restart"
[ "$(count "$RUN/restarted" 200)" -ge $((RATE * 8 / 3)) ] || fail "too little was admitted after the owner's restart"
echo "passed"
