#!/usr/bin/env bash
# A bad version that was rolled back gets requests again when the next version
# is ordered before its upstreams have drained. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
HERE=$(cd "$(dirname "$0")" && pwd)
source "$HERE/../standins-2/mesh.sh"
DURATION_S=12
EXPOSE_SHARE=0.1
EXPOSE_SLACK=50
ROLLBACK_S=5
# "At `rolled_back`, the new upstreams drain some seconds later."
DRAIN_AFTER_S=7
FAIL_PERCENT=50

order() {
  say "orders $1"
  curl -s -m 2 -o /dev/null -X POST "http://127.0.0.1:$STORE_PORT/control/put?op/rollout/zapisy" \
    -d "{\"Service\":\"zapisy\",\"TargetVersion\":\"$1\",\"Duration\":\"${DURATION_S}s\"}" || cannot_run "no order"
}
# state VERSION: prints the state of the move to it.
state() {
  curl -s -m 2 "http://127.0.0.1:$STORE_PORT/api/kv-range?Prefix=status/rollout/zapisy" \
    | sed -n 's/.*"Value":"\([^"]*\)".*/\1/p' | base64 -d 2>/dev/null \
    | grep "\"TargetVersion\":\"$1\"" | sed -n 's/.*"State":"\([^"]*\)".*/\1/p'
}

store_begin
put_config '{"Version":"0000000a","Routes":[{"Name":"minutes-read","Host":"zapis.example","Prefix":"/minutes/","RouteType":"safe","Timeout":"1500ms","TargetLatency":"500ms","Priority":2,"Service":"zapisy","MaxAttempts":2},{"Name":"seal-certify","Host":"zapis.example","Prefix":"/seal/","RouteType":"unsafe","Timeout":"1500ms","TargetLatency":"500ms","Priority":2,"Service":"zapisy","MaxAttempts":2}],"Services":[{"Name":"zapisy","HealthPath":"/healthz","MaxConns":130}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}'
for i in 1 2 3; do
  node_begin $i zapisy praha-a
  upstream_begin $i zapisy 12 160 3000
done
wait_ready 1 2 3
wait_served 1 /minutes/first
sleep 4
CLIENTS=()
for i in 1 2 3; do
  client $i "/minutes/$i-%d" safe 55 30 3000 2 "clerk-$i"
  CLIENTS+=("$CLIENT_PID")
  client $i "/seal/$i-%d" unsafe 5 30 4000 2 "seal-$i"
  CLIENTS+=("$CLIENT_PID")
done
sleep 4

ordered=$(awk '{ print $1 }' /proc/uptime)
order v2
for i in 4 5 6; do
  node_begin $i zapisy praha-a
  upstream_begin $i zapisy 12 160 3000 v2 $FAIL_PERCENT /seal/
done
rolled_back=0
for _ in $(seq 140); do
  [ "$(state v2)" = rolled_back ] && rolled_back=1 && break
  sleep 0.1
done
[ $rolled_back = 1 ] || cannot_run "v2 was not rolled back"
say "v2 is rolled_back"
# The operator orders the version that mends it. With TROUBLE=0 it waits until
# the upstreams of v2 have drained.
order_v3() {
  order v3
  for i in 7 8 9; do
    node_begin $i zapisy praha-a
    upstream_begin $i zapisy 12 160 3000 v3 0 /
  done
}
[ "$TROUBLE" = 0 ] || order_v3
sleep $DRAIN_AFTER_S
say "the upstreams of v2 drain"
for i in 4 5 6; do kill -USR1 "${UPSTREAM_PID[$i]}"; done
if [ "$TROUBLE" = 0 ]; then
  sleep 2
  order_v3
fi
wait "${CLIENTS[@]}"

result=$(sort -n "$RECORD" | awk -v ordered="$ordered" -v duration=$DURATION_S -v share=$EXPOSE_SHARE \
  -v slack=$EXPOSE_SLACK -v rollback=$ROLLBACK_S '
  $2 == "client" && $4 == "sent" { sent[$5] = $1 }
  $2 == "upstream" && $4 == "reached" && $1 >= ordered && $1 < ordered + duration {
    all++
    if ($3 ~ /^i-[456]-/) bad++
  }
  $2 == "upstream" && $4 == "reached" && $3 ~ /^i-[456]-/ { if (fails >= 50 && sent[$5] > fiftieth + rollback) late++ }
  $2 == "upstream" && $4 == "fails" { if (++fails == 50) fiftieth = $1 }
  END { printf "%d %d %d %d %d", bad, all, all * share + slack, fails, late }')
read -r bad all allowed fails late <<<"$result"
result="v2 got $bad of $all requests within the duration of its order, allowed $allowed; it failed $fails; later than $ROLLBACK_S s after the 50th failure it got $late"
echo "$result"
say "$result"
[ "$all" -gt 0 ] || cannot_run "no requests"
[ "$bad" -le "$allowed" ] && [ "$late" -eq 0 ]
