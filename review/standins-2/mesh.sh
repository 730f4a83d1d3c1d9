# Functions of the scripts of this review. A script sets HERE (its folder) and
# sources this file. Machines have loopback addresses of their own, with the
# ports of the platform's pages; settings are those of deploy/sidecar.yaml with
# the figures of zapis-mesh.
set -u
ROOT=$(cd "$HERE/../.." && pwd)
TOOLS=$ROOT/build/review-2
SIDECAR=$ROOT/target/hawthornseam-sidecar
PLATFORM=$ROOT/build/opt/standin-platform
RECORD=$HERE/record.txt
TROUBLE=${TROUBLE:-1}
RUN=$(mktemp -d)
NET=127.$((RANDOM % 100 + 60)).$((RANDOM % 250 + 1))
# MaxFds of zapis-mesh, as far as the machine allows.
NODE_FDS=4100
[ "$(ulimit -H -n)" = unlimited ] || [ "$(ulimit -H -n)" -ge $NODE_FDS ] || NODE_FDS=$(ulimit -H -n)
STORE_PORT=
: >"$RECORD"

cleanup() {
  # Only processes that this script started and that still run.
  local pids
  pids=$(jobs -pr)
  [ -z "$pids" ] || kill $pids 2>/dev/null
  sleep 0.3
  pids=$(jobs -pr)
  [ -z "$pids" ] || kill -KILL $pids 2>/dev/null
  wait 2>/dev/null
  rm -rf "$RUN"
}
trap cleanup EXIT
trap "exit 2" INT TERM

cannot_run() { echo "could not run: $*"; exit 2; }
say() { echo "$(awk '{print $1}' /proc/uptime) script $*" >>"$RECORD"; }
for program in "$SIDECAR" "$PLATFORM" "$TOOLS/upstream" "$TOOLS/client"; do
  [ -x "$program" ] || cannot_run "$program is not built"
done
command -v curl >/dev/null || cannot_run "no curl"

ip() { echo "$NET.$((10 + $1))"; }

# store_begin: starts the stand-in of the platform's store on a free port below
# those that the system gives out.
store_begin() {
  local pid
  for _ in 1 2 3 4 5; do
    STORE_PORT=$((RANDOM % 2700 + 30000))
    "$PLATFORM" "$STORE_PORT" >"$RUN/platform.log" 2>&1 &
    pid=$!
    for _ in $(seq 50); do
      sleep 0.1
      kill -0 $pid 2>/dev/null || continue 2
      curl -s -m 1 -o /dev/null "http://127.0.0.1:$STORE_PORT/control/runs" || continue
      return
    done
    kill $pid 2>/dev/null
  done
  cannot_run "the store does not answer"
}

# put_config JSON: writes a configuration as the operator.
put_config() {
  curl -s -m 2 -o /dev/null -X POST "http://127.0.0.1:$STORE_PORT/control/put?op/config" -d "$1" \
    || cannot_run "the store does not take the configuration"
}

# settings NODE SERVICE ZONE: writes the settings of a machine's node.
settings() {
  local a
  a=$(ip "$1")
  sed -e "s|{{NodeId}}|sidecar-$3-$1|" -e "s|{{Zone}}|$3|" -e "s|{{Service}}|$2|" \
    -e "s|{{ListenAddrs.Outbound}}|$a:8304|" -e "s|{{ListenAddrs.Inbound}}|$a:8300|" \
    -e "s|{{ListenAddrs.Ready}}|$a:8302|" -e "s|{{ListenAddrs.Control}}|$a:8306|" \
    -e "s|{{AppAddr}}|$a:8301|" -e "s|{{Provider.Address}}|127.0.0.1:$STORE_PORT|" \
    -e "s|{{Ip}}|$a|" -e "s|{{Provider.TtlMin}}|1000ms|" -e "s|{{Provider.ReadsPerS}}|2000|" \
    -e "s|{{Heartbeat}}|1500ms|" -e "s|{{Bounds.Drain}}|2000ms|" \
    -e "s|{{Bounds.ConfigApply}}|2000ms|" -e "s|{{Bounds.Grace}}|6s|" \
    -e "s|{{Bounds.BudgetRatio}}|0.2|" -e "s|{{Bounds.BudgetSlack}}|64|" \
    -e "s|{{Limits.LinkMbps}}|1000.0|" -e "s|{{Bounds.ColdSlack}}||" \
    -e "s|{{Limits.MemoryMb}}|260|" "$ROOT/deploy/sidecar.yaml" >"$RUN/$1.yaml"
  grep -q '{{' "$RUN/$1.yaml" && cannot_run "unknown field in deploy/sidecar.yaml"
}

# node_begin NODE SERVICE ZONE: starts a node, as deploy/system.toml says.
node_begin() {
  settings "$@"
  (cd "$ROOT" && ulimit -n "$NODE_FDS" && HAWTHORNSEAM_SETTINGS=$RUN/$1.yaml exec target/hawthornseam-sidecar) \
    >"$RUN/$1.log" 2>&1 &
  NODE_PID[$1]=$!
}

# upstream_begin NODE SERVICE CAPACITY WORK_MS DOWN_MS [VERSION FAIL_PERCENT FAIL_PATH]:
# starts its upstream.
upstream_begin() {
  "$TOOLS/upstream" "$(ip "$1"):8301" "$(ip "$1"):8306" "i-$1" "$2" "$3" "$4" "$5" "$RECORD" "${@:6}" &
  UPSTREAM_PID[$1]=$!
}

# client NODE PATH KIND RATE SECONDS DEADLINE_MS RETRIES NAME: runs in the
# background.
client() {
  "$TOOLS/client" "$(ip "$1"):8304" zapis.example "$2" "$3" "$4" "$5" "$6" "$7" "$RECORD" "$8" &
  CLIENT_PID=$!
}

# wait_ready NODE...: waits until the nodes are ready.
wait_ready() {
  local node
  for node in "$@"; do
    for _ in $(seq 100); do
      [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(ip "$node"):8302/api/readyz")" = 200 ] && continue 2
      sleep 0.1
    done
    cannot_run "node $node is not ready"
  done
}

# wait_served NODE PATH: waits until a request is served.
wait_served() {
  for _ in $(seq 100); do
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: zapis.example' \
      -H "Hawthornseam-Request-Id: warm-$RANDOM$RANDOM" "http://$(ip "$1"):8304$2")" = 200 ] && return
    sleep 0.1
  done
  cannot_run "node $1 does not serve"
}
declare -A NODE_PID UPSTREAM_PID
