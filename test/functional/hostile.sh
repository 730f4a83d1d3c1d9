# Functions of the tests beside hostile clients (test/standin/hostile_clients.c).
# The bounds come from the settings of the nodes, not from what was measured: the
# memory that a node may use is its memory_mb, and of its descriptors 200 stay free.
# Only one of these tests may run at a time.
source "$(dirname "$0")/sidecars.sh"

MEMORY_MB=24
DESCRIPTORS=700
DESCRIPTORS_RESERVED=200
BODY_BYTES=1048576
FAILED_ROWS=0

# hostile_nodes: starts the nodes with the limits above.
hostile_nodes() {
  local i allowed
  allowed=$(ulimit -Sn)
  ulimit -Sn "$DESCRIPTORS"
  for i in 0 1 2; do SETTINGS_EXTRA="memory_mb: $MEMORY_MB" sidecar_run $i; done
  ulimit -Sn "$allowed"
  for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
  report_all
  wait_for "first answer" 10 answers 0 /read/1 200 || fail "no request is answered"
}

hostile_begin() {
  mesh_begin "$1"
  sidecars_begin
  put_config 0000000a orders
  hostile_nodes
}

# peak NODE: largest resident memory of the node so far, kB.
peak() { awk '/^VmHWM/ { print $2 }' "/proc/${PID[s$1]}/status"; }
descriptors() { find "/proc/${PID[s$1]}/fd" -mindepth 1 -maxdepth 1 | wc -l; }
settled() { report_all; note_descriptors; grep -q settled "$RUN/clients.out"; }

# note_descriptors: keeps the largest number of open descriptors of any node.
note_descriptors() {
  local i count
  for i in 0 1 2; do
    count=$(descriptors $i)
    [ "$count" -le "$MOST" ] || MOST=$count
  done
}
answers_now() { report_all; answers 0 /read/ordinary 200; }

# hostile_row CASE KIND: runs the clients of a case against the address of this
# kind (see port) of node 0. Prints what is out of bounds and counts it.
hostile_row() {
  local i kb faults="" peaks=""
  MOST=0
  : >"$RUN/clients.out"
  start clients "$BIN/standin-hostile_clients" "$(port 0 "$2")" "$1"
  wait_for "clients of $1" 40 settled || fail "the clients of $1 do not settle"
  # The connections of the clients are still open.
  if ! wait_for "ordinary request" 20 answers_now >/dev/null; then
    faults+=" no ordinary request is answered;"
  fi
  note_descriptors
  for i in 0 1 2; do
    if has_ended "${PID[s$i]}"; then
      faults+=" node $i has ended;"
      continue
    fi
    kb=$(peak $i)
    peaks+=" $kb"
    [ "$kb" -le $((MEMORY_MB * 1024)) ] || faults+=" node $i used $kb kB of $((MEMORY_MB * 1024));"
  done
  [ "$MOST" -le $((DESCRIPTORS - DESCRIPTORS_RESERVED)) ] \
    || faults+=" $MOST descriptors of $((DESCRIPTORS - DESCRIPTORS_RESERVED));"
  echo "$1 at address $2: $(cat "$RUN/clients.out"), kB at most:$peaks, descriptors at most: $MOST:${faults:- within bounds}"
  [ -z "$faults" ] || FAILED_ROWS=$((FAILED_ROWS + 1))
  stop clients
  for i in 0 1 2; do stop s$i KILL; done
  hostile_nodes
}

hostile_end() {
  [ "$FAILED_ROWS" = 0 ] || { echo "FAILED: $FAILED_ROWS rows out of bounds"; exit 1; }
  echo "passed: all rows within $MEMORY_MB MiB and $((DESCRIPTORS - DESCRIPTORS_RESERVED)) descriptors"
}
