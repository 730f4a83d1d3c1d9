#!/usr/bin/env bash
# Guards against this failure: requests of callers that have closed their
# connections reach a target, since the close is still unread.
source "$(dirname "$0")/sidecars.sh"
mesh_begin departed-callers
sidecars_begin

# unsent NODE...: requests that the nodes did not pass on since their callers had left.
unsent() {
  local node
  for node in "$@"; do curl -s "http://127.0.0.1:$(port "$node" 5)/metrics"; done \
    | awk '/^hawthornseam_(entry|run)_unsent_abandoned / { sum += $2 } END { print sum + 0 }'
}

runs() { curl -s "$STORE/control/runs" | cut -d' ' -f1; }

PAD=$(head -c 15000 /dev/zero | tr '\0' p)

# leave NODE PATH COUNT BYTES MS: sends COUNT requests with heads of BYTES bytes on one
# connection, all at once, and closes it MS milliseconds later.
leave() {
  local i pad=${PAD:0:$4}
  exec {FD}<>"/dev/tcp/127.0.0.1/$(port "$1" 0)"
  for ((i = 0; i < $3; i++)); do
    printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nX-Pad: %s\r\nHawthornseam-Request-Id: d%s-%s\r\nHawthornseam-Deadline-Ms: 20000\r\n\r\n' \
      "$2" "$pad" "$BASHPID$RANDOM" "$i"
  done >&$FD
  sleep "0.$5"
  exec {FD}>&-
}

for i in 0 1 2; do sidecar_run $i; done
TIMEOUT=20000ms put_config 0000000a menu
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 1 /read/1 200 || fail "no request is answered"

# Each row: the node that does not run until the callers have left, their number, the
# requests on each connection, bytes of a head, milliseconds until the close, path,
# slots of the targets. Requests that run when their callers leave may go on.
while read -r stopped callers requests bytes ms path CAPACITY; do
  row="$callers callers, $requests requests of $bytes bytes each, node $stopped stopped"
  report_all
  # Leaves idle connections between the nodes and to the target.
  for ((k = 0; k < CAPACITY; k++)); do
    ask 1 /read/slow >/dev/null &
    CALLERS[k]=$!
  done
  wait "${CALLERS[@]}"
  CALLERS=()
  [ "$stopped" = none ] || known=$(unsent "$stopped")
  [ "$stopped" = none ] || send_signal "s$stopped" STOP
  for ((k = 0; k < callers; k++)); do
    leave 1 "$path" "$requests" "$bytes" "$ms" 2>/dev/null &
    CALLERS[k]=$!
  done
  wait "${CALLERS[@]}"
  CALLERS=()
  sleep 0.5
  before=$(runs)
  [ "$stopped" = none ] || send_signal "s$stopped" CONT
  sleep 1.5
  # The connections of the callers that left during the stop were known to be closed.
  [ "$stopped" = none ] || skipped=$(($(unsent "$stopped") - known))
  late=$(($(runs) - before))
  echo "$row: $late ran later than 0.5 s after their callers had left"
  [ "$late" -le 3 ] || fail "$row: $late requests ran later than 0.5 s after their callers had left"
  [ "$stopped" = none ] || [ "$skipped" -ge "$callers" ] \
    || fail "$row: $skipped requests were not passed on"
  expect "$row: next request" "$(ask 1 /read/next)" "200 i-a"
done <<'ROWS'
none 20 14 15000 300 /read/slow 4
none 20 8 100 300 /read/slow 4
1 40 1 100 010 /read/quick 40
1 10 4 100 010 /read/quick 40
0 40 1 100 300 /read/quick 40
ROWS
echo "passed"
