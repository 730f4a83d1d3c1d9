#!/usr/bin/env bash
# Tests pipelined requests beside a response that breaks off, whatever its size and
# framing. Guards against this failure: the connection of the caller is closed, and
# requests behind the broken response, which were passed on already, get no answer.
source "$(dirname "$0")/sidecars.sh"
mesh_begin broken-pipeline
platform_begin "$(port 0 4)" i-a
for i in 1 2; do
  start "target$i" "$BIN/standin-breaking_target" "$(port $i 4)" "${INSTANCES[$i]}"
done
for i in 0 1 2; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 0 /read/whole-2-0/first 200 || fail "no request is answered"

# send PATH...: sends GET requests on the open connection, all in one write: on a busy
# machine the first response would otherwise begin before the second request is sent.
send() {
  local path text='' request
  for path in "$@"; do
    printf -v request 'GET /read/%s HTTP/1.1\r\nHost: a.example\r\nHawthornseam-Request-Id: p%s-%s\r\nHawthornseam-Deadline-Ms: 1200\r\n\r\n' \
      "$path" $RANDOM$RANDOM "${path##*/}"
    text+=$request
  done
  printf '%s' "$text" >&$PIPE
}
statuses() { grep -aoE 'HTTP/1.1 [0-9]+' "$RUN/pipeline" | cut -d' ' -f2 | tr '\n' ' '; }
ran() { grep -qh "^run $1 " "$RUN"/target*.out; }

# Each row is one pipeline with a broken response at one place. Requests behind a
# response of 1 MiB and more may wait instead; they must not run then.
tried=0
for bytes in 200 20000 200000 3000000; do
  for kind in length chunked close; do
    report_all
    for position in 1 2 3; do
      row=$kind-$bytes-$position
      paths=(whole-2-120/$row-1 whole-2-60/$row-2 whole-2-1/$row-3)
      paths[position - 1]=$kind-$bytes-30/broken
      expected=(200 200 200)
      expected[position - 1]=502
      exec {PIPE}<>"/dev/tcp/127.0.0.1/$(port 0 0)"
      send "${paths[@]}"
      timeout 0.7 cat <&$PIPE >"$RUN/pipeline" 2>/dev/null
      exec {PIPE}>&-
      tried=$((tried + 1))
      # The last one has no request behind it, so a part of it may be sent.
      [ $position = 3 ] && [ "$(statuses)" = "200 200 200 " ] && continue
      if [ $bytes -ge 1048576 ] && ! ran $row-$((position + 1)) && [ $position -lt 3 ]; then
        expect "$row, before the broken one" "$(statuses)" "${expected[*]:0:$((position - 1))}*"
        continue
      fi
      expect "$row" "$(statuses)" "${expected[*]} "
    done
    # A request that arrives while a part of the response is sent: its caller sends
    # it again, so it must not run.
    exec {PIPE}<>"/dev/tcp/127.0.0.1/$(port 0 0)"
    send $kind-$bytes-150/broken
    sleep 0.08
    name=late-$kind-$bytes
    send whole-2-1/$name
    timeout 0.7 cat <&$PIPE >"$RUN/pipeline" 2>/dev/null
    exec {PIPE}>&-
    if ran $name; then
      expect "$kind, $bytes bytes, with a later request" "$(statuses)" "502 200 "
    fi
    tried=$((tried + 1))
  done
done

# Two complete responses that are larger than what a node holds back of one.
exec {PIPE}<>"/dev/tcp/127.0.0.1/$(port 0 0)"
send whole-3000000-50/a whole-3000000-1/b whole-2-1/c
timeout 2 cat <&$PIPE >"$RUN/pipeline" 2>/dev/null
exec {PIPE}>&-
expect "large complete responses" "$(statuses)" "200 200 200 "
size=$(stat -c %s "$RUN/pipeline")
[ "$size" -gt 6000002 ] || fail "two responses of 3000000 bytes came as $size bytes"

# Without memory to hold a response back, its request fails and the others do not;
# alone, it is served.
stop s0
SETTINGS_EXTRA="memory_mb: 2" sidecar_run 0
wait_for "ready 0" 10 ready 0 || fail "node 0 is not ready"
report_all
wait_for "answer after the restart" 10 answers 0 /read/whole-2-0/again 200
exec {PIPE}<>"/dev/tcp/127.0.0.1/$(port 0 0)"
send whole-800000-50/d whole-2-1/e
timeout 0.7 cat <&$PIPE >"$RUN/pipeline" 2>/dev/null
exec {PIPE}>&-
expect "no memory to hold a response" "$(statuses)" "502 200 "
expect "the same alone" "$(ask 0 /read/whole-800000-1/f | head -c 4)" "200 "
echo "passed: $tried broken responses"
