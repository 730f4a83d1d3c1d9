#!/usr/bin/env bash
# Runs the soak. Usage: test/soak/run.sh [SEED...]
# Settings by environment: SECONDS_EACH (45), PROCESSES (9 sidecars), CALLS
# (requests a second), JOBS (runs at a time), VARIANT (opt or san). Without
# seeds, COUNT fresh ones are drawn. Logs of a run that broke a promise stay
# in build/soak-SEED.
set -u
cd "$(dirname "$0")/../.."
bin="build/${VARIANT:-opt}"
seconds=${SECONDS_EACH:-45}
nodes=${PROCESSES:-9}
calls=${CALLS:-150}
jobs=${JOBS:-1}
if [ $# -eq 0 ]; then
  for _ in $(seq "${COUNT:-1}"); do set -- "$@" "$((RANDOM * 32768 + RANDOM))"; done
fi

# run_seed SEED PORT: prints the run's result; the logs of a good run go.
run_seed() {
  local directory="build/soak-$1"
  if timeout $((seconds + 30)) "$bin/soak" --seed "$1" --seconds "$seconds" \
    --nodes "$nodes" --calls "$calls" --port "$2" \
    --program "$bin/hawthornseam-sidecar" --directory "$directory"; then
    rm -rf "$directory"
    return 0
  fi
  echo "FAILED seed $1 nodes $nodes seconds $seconds, logs in $directory"
  return 1
}

failed=0
port=21000
for seed in "$@"; do
  while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n || failed=1; done
  run_seed "$seed" "$port" &
  # A port range is free again when the runs that came before have ended.
  port=$((port + nodes * 9 + 20))
  [ $((port + nodes * 9 + 20)) -lt 32000 ] || port=21000
done
while [ "$(jobs -rp | wc -l)" -gt 0 ]; do wait -n || failed=1; done
exit $failed
