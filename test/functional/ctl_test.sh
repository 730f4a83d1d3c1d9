#!/usr/bin/env bash
# Runs hawthornseam-ctl against a fake node that loses its first response to a
# change. Guards against changes that take effect twice, wrong exit codes, and
# commands that print nothing.
set -u
cd "$(dirname "$0")/../.."
source test/functional/mesh.sh
mesh_begin ctl
port=$BASE
work=$RUN
build/san/standin-admin "$port" 1 60 >"$work/ready" 2>"$work/server.log" &
server=$!
PID[server]=$server
for _ in $(seq 100); do
  grep -q ready "$work/ready" && break
  sleep 0.1
done
failures=0
# expect CODE PATTERN COMMAND...: checks the exit code and a line of the output.
expect() {
  local code=$1 pattern=$2
  shift 2
  timeout 30 build/san/hawthornseam-ctl "$@" >"$work/out" 2>&1
  local got=$?
  if [ "$got" -ne "$code" ] || ! grep -qE -- "$pattern" "$work/out"; then
    echo "ctl $*: exit $got, wanted $code and /$pattern/:"
    cat "$work/out"
    failures=$((failures + 1))
  fi
}
node=(--node "127.0.0.1:$port")
cat >"$work/mesh.yaml" <<'YAML'
format: 1
mesh: zapis
services:
  - {name: pecet, version: v1}
  - {name: archiv, version: v1}
routes:
  - {name: seal, prefix: /seal/, service: pecet, idempotent: false, timeout_ms: 9000}
YAML
cp "$work/mesh.yaml" "$work/move.yaml"
cat >>"$work/move.yaml" <<'YAML'
moves:
  - {name: pecet-v2, service: pecet, from: v1, to: v2, by: 2999-01-01T00:00:00Z}
YAML
echo 'rutes: []' | cat "$work/mesh.yaml" - >"$work/wrong.yaml"

expect 0 'ok, 2 services, 1 routes' validate "$work/mesh.yaml"
expect 1 'wrong.yaml:8:1: rutes: unknown field' validate "$work/wrong.yaml"
expect 1 '"path": "rutes"' --json validate "$work/wrong.yaml"
build/opt/example-zapis v2 2999-01-01T00:00:00Z >"$work/zapis.yaml"
expect 0 'ok, 4 services, 11 routes, 1 moves' validate "$work/zapis.yaml"
build/opt/example-dala_oraq >"$work/dala.yaml"
expect 0 'ok, 4 services, 12 routes, 0 moves' validate "$work/dala.yaml"
expect 0 '^\+ route seal prefix=/seal/' "${node[@]}" diff "$work/mesh.yaml"
# The response to this change is lost; the change must be applied only once.
expect 0 '^version 1 accepted' "${node[@]}" --author olga \
  --note 'před hlasováním' apply "$work/mesh.yaml"
expect 0 '^version 1 unchanged' "${node[@]}" apply "$work/mesh.yaml"
expect 1 'wrong.yaml:8:1: rutes' "${node[@]}" apply "$work/wrong.yaml"
expect 1 'for mesh' "${node[@]}" apply "$work/dala.yaml"
expect 1 'based on version 7' "${node[@]}" --base 7 apply "$work/move.yaml"
expect 0 '^move pecet-v2: done' "${node[@]}" --wait --timeout 20 apply \
  "$work/move.yaml"
expect 0 '^version 3 unchanged' "${node[@]}" apply "$work/move.yaml"
expect 1 'services\[0\].version' "${node[@]}" apply "$work/mesh.yaml"
expect 0 'version: v2' "${node[@]}" get
expect 0 '"pecet-v2"' "${node[@]}" --json get
expect 0 '^service pecet: version v2' "${node[@]}" status
expect 0 '^zone praha-a: 3 members, 3 report version 3' "${node[@]}" status
expect 0 'done, share 100.00%' "${node[@]}" move status pecet-v2
expect 1 'no move' "${node[@]}" move status other
expect 1 'has ended' "${node[@]}" move cancel pecet-v2
expect 0 '^3 .* move-driver pecet-1 base=2' "${node[@]}" history
expect 0 '= move pecet-v2 service=pecet' "${node[@]}" audit
expect 0 'olga base=0 changes=3 před hlasováním' "${node[@]}" --count 5 audit
expect 0 '^version 4 accepted' "${node[@]}" rollback 1
expect 0 '^service pecet: version v1' "${node[@]}" status
expect 1 'below the one in force' "${node[@]}" rollback 9
expect 2 'unknown command' "${node[@]}" frobnicate
expect 2 'wrong number of arguments' "${node[@]}" apply
expect 2 'host:port' --node nowhere status
expect 0 'Exit codes' --help
expect 0 '^hawthornseam-ctl [0-9]' --version
expect 1 'no answer' --node 127.0.0.1:1 status
kill "$server"
wait "$server" 2>/dev/null
if grep -qE 'ERROR|runtime error' "$work/server.log"; then
  cat "$work/server.log"
  failures=$((failures + 1))
fi
echo "$failures failures"
[ "$failures" -eq 0 ]
