#!/usr/bin/env bash
# Tests nodes of 88 MiB with bodies over 1 MiB and a head of 4,000 lines. Guards against
# these failures: a request within the limits of the configuration is refused, arrives
# changed or incomplete, runs twice, or makes a process exceed its memory.
source "$(dirname "$0")/sidecars.sh"

MEMORY_MB=88
MIB=1048576
mesh_begin large-bodies
sidecars_begin
BODY_BYTES=$((64 * MIB)) TIMEOUT=20s put_config 0000000a orders
for i in 0 1 2; do SETTINGS_EXTRA="memory_mb: $MEMORY_MB" sidecar_run $i; done
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 0 /read/1 200 || fail "no request is answered"

# upload PATH FILE [OPTION...]: sends a file; prints "status body".
upload() {
  local path=$1 file=$2
  shift 2
  curl -s -m 30 -w '%{http_code}' -o "$RUN/body" -X POST "$@" -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $(date +%s%N)-$BASHPID" -H 'Hawthornseam-Deadline-Ms: 20000' \
    --data-binary "@$file" "http://127.0.0.1:$(port 0 0)$path"
  echo " $(cat "$RUN/body" 2>/dev/null)"
}
last_upload() { curl -s "$STORE/control/upload"; }
runs() { curl -s "$STORE/control/runs" | cut -d' ' -f"${1:-1}"; }
arrived() { [ "$(last_upload)" = "$1" ]; }
no_more_than() { [ "$(curl -s "http://127.0.0.1:$(port "$1" 5)/metrics" | awk '/^hawthornseam_entry_uploads/ { print $2 }')" = "$2" ]; }

uploads=0
for size in $((MIB + 1)) $((16 * MIB)) $((64 * MIB)); do
  head -c "$size" /dev/urandom >"$RUN/upload"
  hash=$(sha256sum "$RUN/upload" | cut -d' ' -f1)
  for framing in length chunked; do
    header="X-Framing: length"
    [ "$framing" = length ] || header="Transfer-Encoding: chunked"
    for path in /read/up /seal/up /seal/early; do
      for expects in "Expect:" "Expect: 100-continue"; do
        report_all
        expect "$size bytes, $framing, $path, $expects" \
          "$(upload $path "$RUN/upload" -H "$header" -H "$expects")" "200 *"
        wait_for "$path of $size bytes, $framing" 10 arrived "$framing $size $hash" \
          || fail "$path: got '$(last_upload)', expected '$framing $size $hash'"
        uploads=$((uploads + 1))
      done
    done
  done
done
wait_for "uploads counted" 5 no_more_than 0 $uploads || fail "the counter does not show $uploads uploads"
expect "requests that ran twice" "$(runs 2)" 0

for i in 0 1 2; do
  kb=$(awk '/^VmHWM/ { print $2 }' "/proc/${PID[s$i]}/status")
  peaks+=" $kb"
  [ "$kb" -le $((MEMORY_MB * 1024)) ] || fail "node $i used $kb kB"
done

report_all
# Too large: refused before the body is read, and a chunked one when it is known.
head -c $((64 * MIB + 1)) /dev/zero >"$RUN/upload"
before=$(runs)
expect "too large" "$(upload /seal/up "$RUN/upload")" "413 *"
expect "requests that ran" "$(runs)" "$before"
expect "too large, chunked" \
  "$(upload /seal/up "$RUN/upload" -H 'Transfer-Encoding: chunked')" "413 *"

# Refused because there is no route; the body is not read.
expect "no route" "$(upload /other "$RUN/upload" -H 'Expect:' -H 'Content-Length: 9000000')" "404 *"

report_all
# The caller leaves in the middle: the target must not get a body that looks whole.
head -c $((8 * MIB)) /dev/urandom >"$RUN/upload"
seen=$(last_upload)
for framing in "X-Framing: length" "Transfer-Encoding: chunked"; do
  timeout 0.5 curl -s -m 30 -o /dev/null -X POST -H 'Host: a.example' -H 'Expect:' -H "$framing" \
    -H "Hawthornseam-Request-Id: left-$framing" --limit-rate 2M --data-binary "@$RUN/upload" \
    "http://127.0.0.1:$(port 0 0)/seal/left"
  sleep 0.3
  expect "body of a caller that left" "$(last_upload)" "$seen"
done

# The target is lost after it got a part: the request is not sent to another one, also on
# a route whose requests may be repeated.
before=$(runs)
report_all
expect "target lost" "$(upload /read/crash "$RUN/upload" -H 'Expect:')" "502 *"
expect "requests that ran" "$(runs)" $((before + 1))
expect "crashes" "$(runs 3)" 1
sleep 1
report_all
wait_for "target is back" 10 answers 0 /read/1 200 || fail "no request after the crash"

# A node cannot be reached: the next one is tried.
hash=$(sha256sum "$RUN/upload" | cut -d' ' -f1)
stop s1 KILL
for i in 1 2 3 4; do
  report_all 0 2
  expect "node away, upload $i" "$(upload /seal/away-$i "$RUN/upload" -H 'Expect:')" "200 *"
  arrived "length $((8 * MIB)) $hash" || fail "node away: got '$(last_upload)'"
done

# A planned stop of the entry node and of the target's node while a body is sent.
for node in 0 2; do
  report_all 0 2
  upload /seal/stop-$node "$RUN/upload" -H 'Expect:' --limit-rate 4M >"$RUN/stopped" &
  sender=$!
  sleep 0.7
  send_signal s$node TERM
  wait $sender
  expect "stop of node $node" "$(cat "$RUN/stopped")" "200 *"
  arrived "length $((8 * MIB)) $hash" || fail "stop: got '$(last_upload)'"
  wait_for "end of node $node" 10 has_ended "${PID[s$node]}" || fail "node $node does not end"
  unset "PID[s$node]"
  SETTINGS_EXTRA="memory_mb: $MEMORY_MB" sidecar_run $node
  wait_for "ready $node" 10 ready $node || fail "node $node is not ready"
  report_all 0 2
  wait_for "answer" 10 answers 0 /read/1 200 || fail "no request after the stop of $node"
done
expect "requests that ran twice" "$(runs 2)" 0

report_all
# A head of 4,000 lines.
for _ in $(seq 4000); do echo "a:"; done | sed 's/:$/;/' >"$RUN/lines"
expect "4000 header lines" "$(ask 0 /read/2 -H "@$RUN/lines")" "200 *"

for i in 0 2; do
  if has_ended "${PID[s$i]}"; then fail "node $i has ended"; fi
  kb=$(awk '/^VmHWM/ { print $2 }' "/proc/${PID[s$i]}/status")
  peaks+=" $kb"
  [ "$kb" -le $((MEMORY_MB * 1024)) ] || fail "node $i used $kb kB"
done
echo "passed: $uploads uploads, kB at most:$peaks"
