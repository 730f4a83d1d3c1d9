# Functions for functional tests: start the stand-ins and nodes of one mesh on
# loopback, wait for conditions, and stop only the processes started here.
# Source this file and call mesh_begin first.

REPOSITORY=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
BIN="$REPOSITORY/build/${MESH_VARIANT:-opt}"
KEY=$(printf '%064d' 7)

# mesh_begin NAME: reserves a block of 2,000 free ports below the ephemeral
# range. It is locked until the script exits, so that scripts which start at the
# same time do not use the same block.
mesh_begin() {
  RUN="$REPOSITORY/build/run-$1-$$"
  mkdir -p "$RUN"
  declare -gA PID=() START_TIME=() ZONE=() INDEX=()
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

# start NAME COMMAND...: starts a process with its own output and log files.
start() {
  local name=$1
  shift
  "$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" {BLOCK_LOCK}>&- &
  PID[$name]=$!
  START_TIME[$!]=$(start_time_of $!)
  disown $!
}

# start_time_of PID: start time of a process, in clock ticks since boot.
start_time_of() {
  local stat
  { read -r stat <"/proc/$1/stat"; } 2>/dev/null || return
  # The first field after the command, which is in parentheses, is field 3.
  set -- ${stat##*) }
  echo "${20}"
}

# has_ended PID: compares the start time as well, because process ids are soon
# reused when many processes start.
has_ended() { [ "$(start_time_of "$1")" != "${START_TIME[$1]}" ]; }

# send_signal NAME SIGNAL: does not signal a later process with the same id.
send_signal() {
  has_ended "${PID[$1]}" || kill "-$2" "${PID[$1]}" 2>/dev/null
}

# stop NAME [SIGNAL]: signals a process and waits for its end.
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

# store_control QUERY: sets faults of the stand-in store.
store_control() {
  curl -s -X POST "http://127.0.0.1:$STORE_PORT/control?$1" >/dev/null
}

# node_settings SLOT ZONE REGION INDEX: writes the settings of a node. Each
# node has ten ports: 0 peers, 1 calls, 2 admin, 3 target.
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

# mesh_target SLOT SERVICE VERSION [OPTION...]: starts the target of a node.
# TARGET_OPTIONS has the options for all targets.
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

# state SLOT FIELD: prints a top-level field of the state of a node.
state() {
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/state" \
    | sed -nE "s/^ \"$2\": \"?([^,\"]*)\"?,?$/\1/p"
}

counter() {
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/counters" \
    | sed -nE "s/^$2 ([0-9]+).*/\1/p"
}

# wait_for WHAT SECONDS COMMAND...: polls until the command succeeds.
wait_for() {
  local what=$1 end=$((SECONDS + $2))
  shift 2
  until "$@" 2>/dev/null; do
    if [ $SECONDS -ge $end ]; then
      echo "timed out waiting for: $what"
      return 1
    fi
    sleep 0.05
  done
}

# all_nodes_at VERSION: tells whether all nodes have this version in force.
all_nodes_at() {
  local slot
  for slot in "${NODES[@]}"; do
    [ "$(state "$slot" version)" = "$1" ] || return 1
  done
}

# mesh_six: starts a store and six nodes in three zones, each with a target of
# zapisy.
mesh_six() {
  mesh_store
  local index=0 zone number
  for zone in praha-a praha-b kladno-c; do
    for number in 1 2; do
      mesh_node "$zone-$number" "$zone" cz-central $index
      index=$((index + 1))
    done
  done
  local slot
  for slot in "${NODES[@]}"; do
    mesh_target "$slot" zapisy v1 --slots 12
  done
  "$BIN/example-zapis" >"$RUN/zapis.yaml"
  for slot in "${NODES[@]}"; do
    wait_for "$slot is ready" 20 is_ready "$slot" \
      || fail "$slot did not become ready"
  done
}

is_ready() { [ "$(state "$1" ready)" = true ]; }

# change_document N: writes a document whose content differs for each N, and
# prints its path.
change_document() {
  sed -E "0,/timeout_ms: [0-9]+/s//timeout_ms: $((3000 + $1))/" \
    "$RUN/zapis.yaml" >"$RUN/change-$1.yaml"
  echo "$RUN/change-$1.yaml"
}

store_count() {
  curl -s "http://127.0.0.1:$STORE_PORT/control" \
    | sed -E "s/.*\"$1\":([0-9]+).*/\1/"
}

# versions_only_grow: checks that the versions which a process logs never go
# down, and that a restarted process becomes ready at no lower version than its
# slot had in force before.
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

# fail TEXT: prints the last lines of all logs and exits.
fail() {
  echo "FAILED: $1"
  tail -n 5 "$RUN"/*.log
  tail -n 20 "$RUN"/*.out
  exit 1
}

# targets_ready NODE SERVICE VERSION N: tells whether this node sees N ready
# targets.
targets_ready() {
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/status" | tr -d ' \n' \
    | grep -o '"targets":.*"members"' \
    | grep -qE "\"$2\":\{[^}]*\"$3\":$4[,}]"
}

all_see_targets() {
  local slot
  for slot in "${NODES[@]}"; do targets_ready "$slot" "$@" || return 1; done
}

# target_figure SLOT NAME: prints a value of the target's own statistics.
target_figure() {
  curl -s -m 2 "http://127.0.0.1:$(target_port "$1")/_control/stats" \
    | sed -E "s/.*\"$2\":([0-9]+).*/\1/"
}

# load_start NAME "SLOT..." OPTION...: starts the load generator against these
# nodes.
load_start() {
  local name=$1 slot to=()
  for slot in $2; do to+=(--to "127.0.0.1:$(call_port "$slot")"); done
  shift 2
  : >"$RUN/$name.out"
  start "$name" "$BIN/hawthornseam-load" "${to[@]}" "$@"
}

# load_stop NAME: stops new calls and then does the same as load_end.
load_stop() {
  send_signal "$1" TERM
  load_end "$1"
}

# load_end NAME: waits for the end of the load generator. Fails if a response was
# not complete or not that of its request. load_figure reads the results.
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
