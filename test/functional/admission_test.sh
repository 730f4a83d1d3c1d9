#!/usr/bin/env bash
# Tests the choice of the admission policy. Guards against these failures: a node
# without client accounts sheds by cost; a change of the configuration or of the
# setting takes effect only at the next start; more requests than slots are at the
# target; a refusal by cost has no Retry-After.
source "$(dirname "$0")/sidecars.sh"
mesh_begin admission
sidecars_begin

put_route() {
  local route='"Host":"a.example","RouteType":"safe","Timeout":"1500ms","TargetLatency":"200ms","Priority":1,"Service":"orders","MaxAttempts":2,"NoAuth":true'
  curl -s -X POST "$STORE/control/put?op/config" -d "{\"Version\":\"$1\",\"Routes\":[{\"Name\":\"reads\",\"Prefix\":\"/read/\",$route},{\"Name\":\"slow\",\"Prefix\":\"/slow/\",$route}],\"Services\":[{\"Name\":\"orders\"}],\"Limits\":{}$2}"
}
metric() { curl -s -m 1 "http://127.0.0.1:$(port "$1" 5)/metrics" | awk -v n="hawthornseam_$2" '$1 == n { print $2 }'; }
by_cost_is() { [ "$(metric "$1" gate_by_cost)" = "$2" ]; }

sidecar_run 0
SETTINGS_EXTRA="admission: rank" sidecar_run 1
SETTINGS_EXTRA="admission: cost" sidecar_run 2
put_route 0000000a ''
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
CAPACITY=2 report_all
wait_for "first answer" 10 answers 0 /read/1 200 || fail "no answer"
expect "auto without accounts" "$(metric 0 gate_by_cost)" 0
expect "rank" "$(metric 1 gate_by_cost)" 0
wait_for "cost" 2 by_cost_is 2 1 || fail "the setting cost is not in force"

put_route 0000000b ',"Tenants":[{"Name":"club","ApiKeys":["key-club"]}]'
wait_for "auto with accounts" 3 by_cost_is 0 1 || fail "accounts do not enable cost"
expect "rank with accounts" "$(metric 1 gate_by_cost)" 0
put_route 0000000c ''
wait_for "auto, accounts removed" 3 by_cost_is 0 0 || fail "cost stays in force"
sed -i 's/admission: rank/admission: cost/' "$RUN/s1.yaml"
wait_for "changed setting" 5 by_cost_is 1 1 || fail "the changed setting is not in force"

sed 's/admission: cost/admission: never/' "$RUN/s1.yaml" >"$RUN/wrong.yaml"
"$BIN/hawthornseam-sidecar" --check --settings "$RUN/wrong.yaml" >"$RUN/wrong.out" 2>&1 \
  && fail "a wrong value is accepted"
grep -q 'auto, rank or cost' "$RUN/wrong.out" || fail "a wrong value is not explained"

# Both targets of the service have two slots, and a slow request takes a third of
# the deadline, so 4 of 16 cannot be served in time. Four go first,
# two to each target: nothing can be refused as late before the work is known.
CAPACITY=2 report_all
first=()
for n in 1 2 3 4; do
  curl -s -m 3 -o /dev/null -H 'Host: a.example' -H "Hawthornseam-Request-Id: f$n" \
    -H 'Hawthornseam-Deadline-Ms: 1200' "http://127.0.0.1:$(port 0 0)/slow/first$n" &
  first+=($!)
done
wait "${first[@]}"
CAPACITY=2 report_all
overload=()
for n in $(seq 16); do
  curl -s -m 3 -o /dev/null -D "$RUN/head.$n" -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: o$n" -H 'Hawthornseam-Deadline-Ms: 1200' \
    "http://127.0.0.1:$(port 0 0)/slow/$n" &
  overload+=($!)
done
running_max=0
for n in $(seq 8); do
  for i in 1 2; do
    running=$(metric "$i" gate_running)
    [ "${running:-0}" -gt "$running_max" ] && running_max=$running
  done
  sleep 0.1
done
wait "${overload[@]}"
[ "$running_max" -le 2 ] || fail "$running_max requests at a target of 2 slots"
served=$(grep -l '^HTTP/1.1 200' "$RUN"/head.* | wc -l)
refused=$(grep -l '^HTTP/1.1 503' "$RUN"/head.* | wc -l)
[ "$served" -ge 4 ] || fail "only $served of 16 requests served"
[ "$refused" -ge 1 ] || fail "no request refused under overload"
for file in $(grep -l '^HTTP/1.1 503' "$RUN"/head.*); do
  grep -qi '^Retry-After:' "$file" || fail "a refusal without Retry-After: $(cat "$file")"
done
late=$(($(metric 1 run_refused_late) + $(metric 2 run_refused_late)))
[ "$late" -ge 1 ] || fail "refusals are not counted by reason"
[ -n "$(metric 1 'gate_kind_requests{route="slow",rank="1",end="served"}')" ] \
  || fail "requests are not counted by route"
echo "passed: served $served, refused $refused, running at most $running_max"
