#!/usr/bin/env bash
# Tests the outcome of moves that the operator reads. Guards against this failure:
# a move ends by the write of another node than its driver, which has published
# "running" before, and the operator never learns how it ended.
source "$(dirname "$0")/sidecars.sh"
mesh_begin status
sidecars_begin
VERSIONS=(v1 v1 v2)

# key NAME: prints the item of a key.
key() { curl -s "$STORE/api/kv-range?Prefix=$1" | grep -oE "\{[^{}]*\"Key\"[^{}]*\}" | grep "\"$1\""; }
revision() { key "$1" | sed -nE 's/.*"Rev":([0-9]+).*/\1/p'; }
value() { key "$1" | sed -nE 's/.*"Value":"([^"]*)".*/\1/p' | base64 -d; }
status_is() { [[ "$(value status/rollout/orders)" == *"\"State\":\"$1\""* ]]; }

# order VERSION: orders a move and waits until it runs.
order() {
  curl -s -X POST "$STORE/control/put?op/rollout/orders" \
    -d "{\"Service\":\"orders\",\"TargetVersion\":\"$1\",\"Duration\":\"15s\"}"
  runs() { value own/move/orders | grep -q "\"order\":$(revision op/rollout/orders),"; }
  report_all
  wait_for "the move runs" 4 runs || fail "the move to $1 does not start"
  wait_for "status running" 3 status_is running || fail "the move to $1 is not told to run"
}

# end PHASE: ends the move as another node would: done 1, rolled back 2.
end() {
  curl -s -X POST "$STORE/control/put?own/move/orders" \
    -d "{\"service\":\"orders\",\"to\":\"$VERSION\",\"order\":$(revision op/rollout/orders),\"phase\":$1,\"share_bp\":0,\"kinds\":[]}"
}

for i in 0 1 2; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 0 /read/1 200 || fail "no request is answered"

while read -r VERSION phase state; do
  order "$VERSION"
  end "$phase"
  report_all
  wait_for "status $state" 4 status_is "$state" \
    || fail "the move to $VERSION has ended, its status is $(value status/rollout/orders)"
done <<'ROWS'
v2 2 rolled_back
v2 1 complete
v2 2 rolled_back
ROWS
echo "passed"
