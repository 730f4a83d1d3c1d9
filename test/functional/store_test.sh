#!/usr/bin/env bash
# Checks the stand-in store through its HTTP interface. Each check is named after
# the failure of the stand-in that it guards against.
set -u
cd "$(dirname "$0")/../.."
mkdir -p build
binary=build/opt/standin-store
[ -x "$binary" ] || binary=build/san/standin-store
"$binary" >build/store-test.out &
pid=$!
trap 'kill "$pid" 2>/dev/null' EXIT
for _ in $(seq 50); do
  grep -q listening build/store-test.out && break
  sleep 0.05
done
url="http://127.0.0.1:$(sed -n 's/.*port=//p' build/store-test.out)"
failed=0
# check NAME EXPECTED ACTUAL: reports a difference.
check() {
  [ "$2" = "$3" ] && return
  echo "FAILED $1: expected '$2', got '$3'"
  failed=1
}
code() { curl -s -m 3 -o /dev/null -w '%{http_code}' "$@"; }
revision() {
  curl -s -m 3 -i "$@" | tr -d '\r' | sed -n 's/^X-Revision: //p'
}
control() { curl -s -m 3 -o /dev/null -X POST "$url/control?$1"; }
count() { curl -s "$url/control" | sed -E "s/.*\"$1\":([0-9]+).*/\1/"; }

r1=$(revision -X PUT -d one "$url/kv/a/b?prev=0")
check "create of an existing key" 409 "$(code -X PUT -d x "$url/kv/a/b?prev=0")"
check "conflict without the current value" one \
  "$(curl -s -X PUT -d x "$url/kv/a/b?prev=0")"
r2=$(revision -X PUT -d two "$url/kv/a/b?prev=$r1")
check "revision did not grow" 1 "$((r2 > r1))"
check "stale write accepted" 409 "$(code -X PUT -d x "$url/kv/a/b?prev=$r1")"
check "wrong value" two "$(curl -s "$url/kv/a/b")"
check "absent key" 404 "$(code "$url/kv/none")"
check "list" "[[\"a/b\",$r2]]" "$(curl -s "$url/list?prefix=a/")"
check "write without condition" 400 "$(code -X PUT -d x "$url/kv/a/b")"
check "unknown path" 400 "$(code "$url/other")"
head -c 1100000 /dev/zero >build/store-test.big
check "value above 1 MiB" 413 \
  "$(code -X PUT --data-binary @build/store-test.big "$url/kv/big?prev=0")"

check "watch without change" 304 "$(code "$url/kv/a/b?after=$r2&wait_ms=100")"
curl -s -m 3 "$url/kv/a/b?after=$r2&wait_ms=3000" >build/store-test.watch &
watch=$!
sleep 0.2
r3=$(revision -X PUT -d three "$url/kv/a/b?prev=$r2")
wait "$watch"
check "watch missed a change" three "$(cat build/store-test.watch)"

curl -s -X POST "$url/lease?ttl_ms=300" >/dev/null
check "leased write" 200 "$(code -X PUT -d x "$url/kv/leased?prev=0&lease=1")"
check "keepalive" 200 "$(code -X POST "$url/lease/1/keepalive")"
check "key lost before expiry" 200 "$(code "$url/kv/leased")"
sleep 0.5
check "key kept after expiry" 404 "$(code "$url/kv/leased")"
check "keepalive of an expired lease" 404 \
  "$(code -X POST "$url/lease/1/keepalive")"

control "drop_answers=1&drop_close=1"
check "answer not dropped" 000 "$(code -X PUT -d four "$url/kv/a/b?prev=$r3")"
check "dropped answer had no effect" four "$(curl -s "$url/kv/a/b")"
control "outage=1"
check "outage" 503 "$(code "$url/kv/a/b")"
control "outage=2"
check "silent outage" 000 "$(curl -s -m 0.3 -o /dev/null -w '%{http_code}' \
  "$url/kv/a/b")"
control "outage=0"
last=$(curl -s -o /dev/null "$url/kv/a/b" \
  --next -s -o /dev/null -X POST "$url/control?hang_connections=1" \
  --next -s -m 0.5 -o /dev/null -w '%{http_code}' "$url/kv/a/b")
check "a hung connection answered" 000 "$last"
check "a new connection did not work" 200 "$(code "$url/kv/a/b")"
control "snapshot=1"
code -X PUT -d new "$url/kv/other?prev=0" >/dev/null
control "restore=1"
check "restore kept later content" 404 "$(code "$url/kv/other")"

if [ -x build/san/unit-store_client_test ]; then
  port=${url##*:}
  if ! build/san/unit-store_client_test "$port" >build/store-client.log 2>&1
  then
    cat build/store-client.log
    failed=1
  fi
fi

control "reads_per_s=20&refuse_excess=1"
for _ in 1 2 3 4 5; do code "$url/kv/a/b" >/dev/null; done
check "excess not refused" 1 "$(($(count refused) >= 3))"
control "refuse_excess=0"
start=$(date +%s%N)
for _ in $(seq 8); do code "$url/kv/a/b" >/dev/null; done
check "excess did not wait" 1 "$((($(date +%s%N) - start) / 1000000 >= 300))"
control "reads_per_s=0&slow_ms=200&slow_for_ms=5000"
start=$(date +%s%N)
code "$url/kv/a/b" >/dev/null
check "slow period" 1 "$((($(date +%s%N) - start) / 1000000 >= 200))"
control "slow_ms=0"
before=$(count watch)
code "$url/kv/a/b?after=99999&wait_ms=300" >/dev/null
check "a watch counts as one call" 1 "$(($(count watch) - before))"
exit $failed
