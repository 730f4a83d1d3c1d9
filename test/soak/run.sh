#!/usr/bin/env bash
# Runs the soak. Usage: test/soak/run.sh [SEED...]
# Environment variables, with defaults: SECONDS_EACH (45), PROCESSES (9 sidecars),
# CALLS (150 requests a second), JOBS (1 run at a time), VARIANT (opt; or san),
# PROGRAM (executable of the sidecar), LARGE_UPLOADS (1: some uploads of 2 MiB),
# KEEP (1: also keeps the logs of runs that passed). Without seeds, COUNT (1)
# random ones are used, or with SEEDS=kept those of seeds.txt. The logs of a
# failed run are kept in build/soak-SEED.
set -u
cd "$(dirname "$0")/../.."
bin="build/${VARIANT:-opt}"
seconds=${SECONDS_EACH:-45}
nodes=${PROCESSES:-9}
calls=${CALLS:-150}
jobs=${JOBS:-1}
program=${PROGRAM:-$bin/hawthornseam-sidecar}
large=${LARGE_UPLOADS:+--large-uploads}
if [ $# -eq 0 ] && [ "${SEEDS:-}" = kept ]; then
  set -- $(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' test/soak/seeds.txt)
elif [ $# -eq 0 ]; then
  for _ in $(seq "${COUNT:-1}"); do set -- "$@" "$((RANDOM * 32768 + RANDOM))"; done
fi

# take_ports: locks a block of 2,000 ports, as the functional tests do, until the
# calling shell exits. Sets `port` to its first port and `lock`.
take_ports() {
  local try
  for try in $(seq 1 200); do
    port=$((10000 + (RANDOM % 10) * 2000))
    exec {lock}>"${TMPDIR:-/tmp}/hawthornseam-ports-$port"
    flock -n "$lock" && return 0
    exec {lock}>&-
    sleep 0.5
  done
  echo "FAILED: no free block of ports"
  return 1
}

# run_seed SEED: runs the soak and prints its result. Deletes the logs of a run
# that passed.
run_seed() {
  local directory="build/soak-$1" port lock
  take_ports || return 1
  if timeout $((seconds + 30)) "$bin/soak" --seed "$1" --seconds "$seconds" \
    --nodes "$nodes" --calls "$calls" --port "$port" \
    --program "$program" --directory "$directory" \
    $large \
    {lock}>&-; then
    [ -n "${KEEP:-}" ] || rm -rf "$directory"
    return 0
  fi
  echo "FAILED seed $1 nodes $nodes seconds $seconds, logs in $directory"
  return 1
}

failed=0
for seed in "$@"; do
  while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n || failed=1; done
  run_seed "$seed" &
done
while [ "$(jobs -rp | wc -l)" -gt 0 ]; do wait -n || failed=1; done
exit $failed
