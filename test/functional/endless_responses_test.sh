#!/usr/bin/env bash
# Tests responses of targets that never end, in each of their parts, for callers that read
# them fast, slowly and not at all, all at once. Guards against these failures: a node
# keeps the bytes until it has no memory left; requests of other callers are not answered
# meanwhile; a node reads on for ever, after the end of the request's time or after its
# caller has left; such a response looks complete.
source "$(dirname "$0")/sidecars.sh"
mesh_begin endless-responses
CAPACITY=400
MEMORY_MB=24
platform_begin "$(port 0 4)" i-a
for i in 1 2; do
  start "target$i" "$BIN/standin-malformed_target" "$(port $i 4)" "${INSTANCES[$i]}"
done
for i in 0 1 2; do SETTINGS_EXTRA="memory_mb: $MEMORY_MB" sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 0 /read/whole/-/first 200 || fail "no request is answered"

NAMES=$("$BIN/standin-malformed_target" list endless)
PER_NAME=3
broken=0
wrong() { echo "$*"; broken=$((broken + 1)); }

# Largest resident memory of a node so far, kB.
peak() { awk '/^VmHWM/ { print $2 }' "/proc/${PID[s$1]}/status"; }
count() { cat "$RUN"/target*.out | grep -c "$1"; }

# Connections to the targets on which a response without end is being read. Ordinary
# responses may leave connections open.
endless() { echo $(($(count '^endless') - $(count '^closed endless'))); }
none_endless() { report_all; [ "$(endless)" = 0 ]; }
all_run() { [ "$(count '^endless')" -ge "$1" ]; }

# caller PATH [OPTION...]: prints the status, the exit code of curl (18 and 56 tell of a
# cut) and the path.
caller() {
  local path=$1 status
  shift
  status=$(curl -s -m 8 -o /dev/null -w '%{http_code}' "$@" -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $RANDOM$RANDOM$BASHPID" -H 'Hawthornseam-Deadline-Ms: 1200' \
    "http://127.0.0.1:$(port 0 0)$path")
  echo "$status $? $path"
}
# read_fast PATH, read_slowly PATH, read_nothing PATH: callers of a response without end.
read_fast() { caller "$1" >>"$RUN/callers"; }
read_slowly() { caller "$1" --limit-rate 20k >>"$RUN/callers"; }
read_nothing() {
  local fd
  exec {fd}<>"/dev/tcp/127.0.0.1/$(port 0 0)"
  printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nHawthornseam-Request-Id: %s\r\nHawthornseam-Deadline-Ms: 1200\r\n\r\n' \
    "$1" "$RANDOM$RANDOM$BASHPID" >&"$fd"
  sleep 6
}

for reader in read_fast read_slowly read_nothing; do
  : >"$RUN/callers"
  before=$(count '^endless')
  callers=()
  for name in $NAMES; do
    for ((n = 0; n < PER_NAME; n++)); do
      $reader "/read/endless/$name/$reader-$n" &
      callers+=($!)
    done
  done
  wait_for "responses of $reader" 5 all_run $((before + 1)) || wrong "$reader: no response began"
  served=0
  for ((n = 0; n < 20; n++)); do
    report_all
    answers 0 "/read/whole/-/beside-$reader-$n" 200 && served=$((served + 1))
  done
  [ $served = 20 ] || wrong "$reader: $served of 20 ordinary requests were answered"
  wait_for "end of the responses of $reader" 20 none_endless \
    || wrong "$reader: $(endless) responses are still read"
  wait "${callers[@]}"
  grep -E '^2[0-9]{2} 0 ' "$RUN/callers" | grep -v behind-a-response \
    && wrong "$reader: a response without end looks complete"
  for i in 0 1 2; do
    has_ended "${PID[s$i]}" && fail "$reader: node $i has ended"
    kb=$(peak $i)
    [ "$kb" -le $((MEMORY_MB * 1024)) ] || wrong "$reader: node $i used $kb kB of $((MEMORY_MB * 1024))"
    peaks+=" $kb"
  done
  echo "$reader: $(($(count '^endless') - before)) responses, $served of 20 ordinary requests served, kB at most:$peaks"
  peaks=
done
expect "afterwards" "$(ask 0 /read/whole/-/last)" "200 abc"
[ $broken = 0 ] || fail "$broken checks failed"
echo "passed"
