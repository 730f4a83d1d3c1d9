#!/usr/bin/env bash
# Tests responses of a target that are malformed, to short requests and to uploads, through
# the node of the target and the entry node. Guards against these failures: the caller gets one as a response, with
# another status or body than a target stated, or cut without being told; an unsafe
# request is run again; the connection of a malformed response is used again. Unusual
# responses that are valid must pass.
source "$(dirname "$0")/sidecars.sh"
mesh_begin malformed-responses
CAPACITY=40
platform_begin "$(port 0 4)" i-a
for i in 1 2; do
  start "target$i" "$BIN/standin-malformed_target" "$(port $i 4)" "${INSTANCES[$i]}"
done
for i in 0 1 2; do sidecar_run $i; done
BODY_BYTES=4194304 put_config 0000000a orders
head -c 1500000 /dev/zero >"$RUN/upload"
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 0 /read/whole/-/first 200 || fail "no request is answered"

broken=0
count_line() { cat "$RUN"/target*.out | grep -cx -- "$1"; }
connections() { echo $(($(count_line opened) - $(count_line closed))); }
no_connection() { [ "$(connections)" = 0 ]; }

# get PREFIX KIND NAME ID [OPTION...]: sends a request; prints status, exit code of curl
# and body.
get() {
  local code path=/$1/$2/$3/$4 id=$RANDOM$RANDOM-$4
  shift 4
  code=$(curl -s -m 3 -w '%{http_code}' -o "$RUN/body" "$@" -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $id" -H 'Hawthornseam-Deadline-Ms: 1200' \
    "http://127.0.0.1:$(port 0 0)$path")
  echo "$code $? $(cat "$RUN/body" 2>/dev/null)"
  rm -f "$RUN/body"
}

# A visible cut is one that curl reports: a part of the body (18) or a reset (56).
is_told() { [[ "$1" = "502 0 "* || "$1" = "200 18 "* || "$1" = "200 56 "* ]]; }

wrong() { echo "$*"; broken=$((broken + 1)); }

tried=0
for name in $("$BIN/standin-malformed_target" list malformed); do
  [ $((tried % 20)) = 0 ] && report_all
  for prefix in read seal; do
    result=$(get $prefix malformed "$name" "$tried")
    is_told "$result" || wrong "$prefix $name: $result"
    runs=$(count_line "run $name $tried")
    [ $prefix = read ] && most=2 || most=1
    [ "$runs" -ge 1 ] && [ "$runs" -le $most ] || wrong "$prefix $name: $runs runs"
    tried=$((tried + 1))
  done
  # A body that is streamed to the target, which responds before it has read it.
  result=$(get read malformed "$name" "$tried" --data-binary "@$RUN/upload" -H 'Expect:')
  is_told "$result" || wrong "upload $name: $result"
  runs=$(count_line "run $name $tried")
  [ "$runs" = 1 ] || wrong "upload $name: $runs runs"
  tried=$((tried + 1))
done
# Only connections of ordinary requests are kept.
wait_for "connections of malformed responses" 3 no_connection \
  || [ "$(connections)" -le 1 ] || wrong "$(connections) connections are kept"
report_all

for name in $("$BIN/standin-malformed_target" list unusual); do
  result=$(get seal unusual "$name" "$tried")
  [[ "$result" = "200 0 abc" || "$result" = "299 0 abc" ]] || wrong "unusual $name: $result"
  tried=$((tried + 1))
done
expect "upload" "$(get seal whole - upload --data-binary "@$RUN/upload")" "200 0 abc"
expect "afterwards" "$(get seal whole - last)" "200 0 abc"
# The load generator reads the responses of a target directly.
for name in $("$BIN/standin-malformed_target" list malformed); do
  "$BIN/hawthornseam-load" --to "127.0.0.1:$(port 1 4)" --count 1 --timeout-ms 2000 \
    --path "1:GET:/x/malformed/$name/load" >"$RUN/load" 2>&1
  [ $? = 1 ] && grep -qx "unframed 1" "$RUN/load" || wrong "load $name: $(grep ' [1-9]' "$RUN/load" | head -n 3 | tr '\n' ' ')"
done
[ $broken = 0 ] || fail "$broken responses are handled wrongly"
echo "passed: $tried responses"
