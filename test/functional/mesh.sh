# Functions for functional tests: start the stand-ins and nodes of one mesh on
# loopback, wait for conditions, and end exactly the processes started here.
# Source this file; call mesh_begin first.

REPOSITORY=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
BIN="$REPOSITORY/build/${MESH_VARIANT:-opt}"
KEY=$(printf '%064d' 7)

# mesh_begin NAME: takes a block of 2,000 free ports below the ephemeral range
# and keeps it locked until the script ends, so that two scripts which start at
# once do not take the same one.
mesh_begin() {
  RUN="$REPOSITORY/build/run-$1-$$"
  mkdir -p "$RUN"
  declare -gA PID=() BORN=() ZONE=() INDEX=()
  NODES=()
  local try found=
  for try in $(seq 1 50); do
    BASE=$((10000 + (RANDOM % 10) * 2000))
    exec {BLOCK_LOCK}>"${TMPDIR:-/tmp}/hawthornseam-ports-$BASE"
    flock -n "$BLOCK_LOCK" && block_is_free && found=1 && break
    exec {BLOCK_LOCK}>&-
  done
  [ -n "$found" ] || { echo "FAILED: no free block of ports"; exit 1; }
  STORE_PORT=$((BASE + 99))
  trap mesh_end EXIT
  trap 'exit 1' INT TERM
}

block_is_free() {
  local port
  for port in $(seq "$BASE" 3 $((BASE + 2000))); do
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && return 1
  done
  return 0
}

mesh_end() {
  local name
  for name in "${!PID[@]}"; do
    send_signal "$name" CONT
    send_signal "$name" KILL
  done
  [ -n "${KEEP_RUN:-}" ] || rm -rf "$RUN"
}

# start NAME COMMAND...: starts one process with its own log.
start() {
  local name=$1
  shift
  "$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" {BLOCK_LOCK}>&- &
  PID[$name]=$!
  BORN[$!]=$(birth_of $!)
  disown $!
}

# birth_of PID: start time of a process, in clock ticks since the boot.
birth_of() {
  local stat
  { read -r stat <"/proc/$1/stat"; } 2>/dev/null || return
  # The fields after the command, which is in brackets, begin with the third.
  set -- ${stat##*) }
  echo "${20}"
}

# has_ended PID: process ids are used again soon when many processes start, so
# the start time is compared as well.
has_ended() { [ "$(birth_of "$1")" != "${BORN[$1]}" ]; }

# send_signal NAME SIGNAL: never to another process with the same id.
send_signal() {
  has_ended "${PID[$1]}" || kill "-$2" "${PID[$1]}" 2>/dev/null
}

# stop NAME [SIGNAL]: ends one process and waits for it.
stop() {
  send_signal "$1" "${2:-TERM}"
  wait_for "end of $1" 30 has_ended "${PID[$1]}"
  unset "PID[$1]"
}

mesh_store() {
  start store "$BIN/standin-store" --port "$STORE_PORT"
  wait_for "store answers" 10 curl -sf -o /dev/null \
    "http://127.0.0.1:$STORE_PORT/control"
}

# store_control QUERY: switches a fault of the store stand-in.
store_control() {
  curl -s -X POST "http://127.0.0.1:$STORE_PORT/control?$1" >/dev/null
}

# node_settings SLOT ZONE REGION INDEX: writes the settings of one node. Each
# node takes ten ports: 0 peers, 1 calls, 2 admin, 3 target.
node_settings() {
  local port=$((BASE + 100 + 10 * $4))
  ZONE[$1]=$2
  INDEX[$1]=$4
  cat >"$RUN/$1.yaml" <<YAML
mesh: ${MESH:-zapis}
slot: $1
availability_zone: $2
region: $3
address: 127.0.0.1
peer_port: $port
call_port: $((port + 1))
admin: "127.0.0.1:$((port + 2))"
store: "127.0.0.1:$STORE_PORT"
seeds:
$(seeds)
keys:
  - id: 1
    key: "$KEY"
YAML
}

seeds() {
  local index
  for index in ${SEED_INDEXES:-0 1}; do
    echo "  - \"127.0.0.1:$((BASE + 100 + 10 * index))\""
  done
}

mesh_node() {
  node_settings "$@"
  NODES+=("$1")
  node_run "$1"
}

node_run() { start "$1" "${NODE_BIN:-$BIN/hawthornseam-node}" --settings "$RUN/$1.yaml"; }

call_port() { echo $((BASE + 101 + 10 * ${INDEX[$1]})); }
admin_port() { echo $((BASE + 102 + 10 * ${INDEX[$1]})); }
target_port() { echo $((BASE + 103 + 10 * ${INDEX[$1]})); }

# mesh_target SLOT SERVICE VERSION [OPTION...]: target beside a node; options of
# all targets are in TARGET_OPTIONS.
mesh_target() {
  local slot=$1 service=$2 version=$3
  shift 3
  start "target-$slot" "$BIN/standin-target" --port "$(target_port "$slot")" \
    --node-port "$(call_port "$slot")" --service "$service" \
    --target-version "$version" ${TARGET_OPTIONS:-} "$@"
}

ctl() {
  local slot=$1
  shift
  "$BIN/hawthornseam-ctl" --node "127.0.0.1:$(admin_port "$slot")" "$@"
}

# state SLOT FIELD: a top-level field of the node's state.
state() {
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/state" \
    | sed -nE "s/^ \"$2\": \"?([^,\"]*)\"?,?$/\1/p"
}

counter() {
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/counters" \
    | sed -nE "s/^$2 ([0-9]+).*/\1/p"
}

# wait_for WHAT SECONDS COMMAND...: polls a condition.
wait_for() {
  local what=$1 end=$((SECONDS + $2))
  shift 2
  until "$@" 2>/dev/null; do
    if [ $SECONDS -ge $end ]; then
      echo "gave up waiting: $what"
      return 1
    fi
    sleep 0.05
  done
}

# all_nodes_at VERSION
all_nodes_at() {
  local slot
  for slot in "${NODES[@]}"; do
    [ "$(state "$slot" version)" = "$1" ] || return 1
  done
}

# mesh_six: store, six nodes in three zones, a target of zapisy beside each.
mesh_six() {
  mesh_store
  local index=0 zone place
  for zone in praha-a praha-b kladno-c; do
    for place in 1 2; do
      mesh_node "$zone-$place" "$zone" cz-central $index
      index=$((index + 1))
    done
  done
  for zone in "${NODES[@]}"; do
    mesh_target "$zone" zapisy v1 --slots 12
  done
  "$BIN/example-zapis" >"$RUN/zapis.yaml"
  local slot
  for slot in "${NODES[@]}"; do
    wait_for "$slot is ready" 20 is_ready "$slot" || fail "no start"
  done
}

is_ready() { [ "$(state "$1" ready)" = true ]; }

# change_document N: a document whose content differs for each N.
change_document() {
  sed -E "0,/timeout_ms: [0-9]+/s//timeout_ms: $((3000 + $1))/" \
    "$RUN/zapis.yaml" >"$RUN/change-$1.yaml"
  echo "$RUN/change-$1.yaml"
}

store_count() {
  curl -s "http://127.0.0.1:$STORE_PORT/control" \
    | sed -E "s/.*\"$1\":([0-9]+).*/\1/"
}

# versions_only_grow: the versions that a process logs never go down, and a
# restarted process is not ready below what its slot had in force before.
versions_only_grow() {
  local slot
  for slot in "${NODES[@]}"; do
    awk -v slot="$slot" '
      /event=started/ { last = 0 }
      /event=version_in_force/ {
        match($0, /version=[0-9]+/)
        version = substr($0, RSTART + 8, RLENGTH - 8) + 0
        if (version < last) { print slot ": " last " then " version; bad = 1 }
        last = version
        if (version > highest) highest = version
      }
      /event=ready/ {
        match($0, /version=[0-9]+/)
        version = substr($0, RSTART + 8, RLENGTH - 8) + 0
        if (version < highest) {
          print slot ": ready at " version " after " highest; bad = 1
        }
      }
      END { exit bad }' "$RUN/$slot.log" || return 1
  done
}

# fail TEXT: prints the ends of all logs and exits.
fail() {
  echo "FAILED: $1"
  tail -n 5 "$RUN"/*.log
  exit 1
}

# targets_ready NODE SERVICE VERSION N: as this node sees them.
targets_ready() {
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/status" | tr -d ' \n' \
    | grep -o '"targets":.*"members"' \
    | grep -qE "\"$2\":\{[^}]*\"$3\":$4[,}]"
}

all_see_targets() {
  local slot
  for slot in "${NODES[@]}"; do targets_ready "$slot" "$@" || return 1; done
}

# target_figure SLOT NAME: a figure of the target's own statistics.
target_figure() {
  curl -s -m 2 "http://127.0.0.1:$(target_port "$1")/_control/stats" \
    | sed -E "s/.*\"$2\":([0-9]+).*/\1/"
}

# load_start NAME "SLOT..." OPTION...: starts the load generator.
load_start() {
  local name=$1 slot to=()
  for slot in $2; do to+=(--to "127.0.0.1:$(call_port "$slot")"); done
  shift 2
  : >"$RUN/$name.out"
  start "$name" "$BIN/hawthornseam-load" "${to[@]}" "$@"
}

# load_stop NAME: starts no more calls, and then as load_end.
load_stop() {
  send_signal "$1" TERM
  load_end "$1"
}

# load_end NAME: waits for its end; fails when an answer was not the whole
# answer to its own request. The figures are read with load_figure.
load_end() {
  wait_for "end of $1" 40 has_ended "${PID[$1]}" || fail "$1 does not end"
  unset "PID[$1]"
  local class
  [ "$(load_figure "$1" calls)" -gt 0 ] || fail "$1: no calls"
  for class in unframed truncated wrong_id wrong_content; do
    [ "$(load_figure "$1" "$class")" -eq 0 ] \
      || fail "$1: $(load_figure "$1" "$class") answers $class"
  done
}

load_figure() { awk -v name="$2" '$1 == name { print $2 }' "$RUN/$1.out"; }
