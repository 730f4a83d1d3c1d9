#!/usr/bin/env bash
# Tests client accounts. Guards against these failures: a request without a valid
# API key reaches a target; a key reaches a target or a log; a caller names its own
# account; a key that was added or removed is handled as before for longer than
# config_apply; a node that may have an old configuration rejects a key or
# a route for good.
source "$(dirname "$0")/sidecars.sh"
mesh_begin accounts
sidecars_begin

# put_accounts VERSION ACCOUNTS: like put_config, with Tenants and a route /open/
# that needs no key.
put_accounts() {
  local route='"Host":"a.example","RouteType":"safe","Timeout":"1500ms","TargetLatency":"200ms","Priority":1,"Service":"orders","MaxAttempts":2'
  curl -s -X POST "$STORE/control/put?op/config" -d "{\"Version\":\"$1\",\"Routes\":[{\"Name\":\"reads\",\"Prefix\":\"/read/\",$route},{\"Name\":\"open\",\"Prefix\":\"/open/\",\"NoAuth\":true,$route}],\"Services\":[{\"Name\":\"orders\"}],\"Limits\":{},\"Tenants\":$2}"
}
# seen PATH [OPTION...]: prints the status, and the account and key at the target.
seen() {
  local path=$1
  shift
  curl -s -m 3 -D - -o /dev/null "$@" -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $(date +%s%N)-$BASHPID" \
    -H 'Hawthornseam-Deadline-Ms: 1200' "http://127.0.0.1:$(port 0 0)$path" \
    | tr -d '\r' | awk '/^HTTP/ { s = $2 } /^X-Account:/ { a = $2 } /^X-Key:/ { k = $2 }
                       END { print s, a, k }'
}
seen_is() { [ "$(seen "${@:2}")" = "$1" ]; }

for i in 0 1 2; do sidecar_run $i; done
put_accounts 0000000a '[{"Name":"league","ApiKeys":["key-league-1","key-league-2"],"Priority":0},{"Name":"club","ApiKeys":["key-club"]}]'
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 seen_is "200 league -" /read/1 -H 'Api-Key: key-league-1' \
  || fail "a request with a key is not answered: $(seen /read/1 -H 'Api-Key: key-league-1')"

while IFS='|' read -r want path header1 header2; do
  options=(-H "$header1")
  [ -n "$header2" ] && options+=(-H "$header2")
  expect "$path with '$header1' '$header2'" "$(seen "$path" "${options[@]}")" "$want"
  report_all
done <<'ROWS'
200 league -|/read/2|Api-Key: key-league-2|
200 club -|/read/3|aPI-kEY: key-club|
200 club -|/read/4|Api-Key: key-club|Hawthornseam-Tenant: league
200 club -|/read/5|Api-Key: key-club|hawthornseam-TENANT: league
401  |/read/6|Api-Key: key-league-3|
401  |/read/7|Api-Key: key-league-1 key-club|
401  |/read/8|Api-Key: key-club|Api-Key: key-league-1
401  |/read/9|X: y|Hawthornseam-Tenant: league
200 - -|/open/1|X: y|Hawthornseam-Tenant: league
200 - -|/open/2|Api-Key: key-club|
ROWS

# A key in a trailer is no key, and a name in a trailer is none.
exec {PIPE}<>"/dev/tcp/127.0.0.1/$(port 0 0)"
printf 'POST /read/10 HTTP/1.1\r\nHost: a.example\r\nHawthornseam-Request-Id: t1\r\nApi-Key: key-club\r\nHawthornseam-Deadline-Ms: 1200\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nHawthornseam-Tenant: league\r\nApi-Key: key-league-1\r\n\r\n' >&"$PIPE"
read -r -t 3 line <&"$PIPE"
expect "request with a trailer" "${line%$'\r'}" "HTTP/1.1 200 OK"
while read -r -t 3 line <&"$PIPE" && [ "${line%$'\r'}" != "" ]; do
  case "${line%$'\r'}" in
    X-Account:*) expect "account with a trailer" "${line%$'\r'}" "X-Account: club" ;;
    X-Key:*) expect "key with a trailer" "${line%$'\r'}" "X-Key: -" ;;
  esac
done
exec {PIPE}>&-

# The same on a kept connection: a key is removed, another one is added.
put_accounts 0000000b '[{"Name":"league","ApiKeys":["key-league-2"]},{"Name":"club","ApiKeys":["key-club","key-new"]}]'
wait_for "removal of a key" 3 seen_is "401  " /read/11 -H 'Api-Key: key-league-1' \
  || fail "a removed key is still accepted"
expect "added key" "$(seen /read/12 -H 'Api-Key: key-new')" "200 club -"
report_all

# A node that has lost the store and its relay does not know which keys exist.
curl -s -X POST "$STORE/control/silent?1"
for i in 1 2; do send_signal "s$i" STOP; done
wait_for "no final rejection by an old view" 8 seen_is "503  " /read/13 -H 'Api-Key: key-later' \
  || fail "a node without contact rejects a key for good: $(seen /read/13 -H 'Api-Key: key-later')"
expect "no key and an old view" "$(seen /read/14)" "401  "
expect "no route and an old view" "$(seen /none/1)" "503  "
curl -s -X POST "$STORE/control/silent?0"
for i in 1 2; do send_signal "s$i" CONT; done
wait_for "rejection after the return" 15 seen_is "401  " /read/15 -H 'Api-Key: key-later' \
  || fail "a node in touch does not reject an unknown key"
expect "no route after the return" "$(seen /none/2)" "404  "

if grep -lE 'key-(league|club|new|later)' "$RUN"/s?.out "$RUN"/s?.log; then
  fail "a key was logged"
fi
echo "passed"
