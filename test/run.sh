#!/usr/bin/env bash
# Runs the unit tests, the fuzz targets on their corpus with a fixed seed, and the
# functional tests. The last line is "N passed, N failed". Tests listed in
# KNOWN-RED.txt are not run; the file is printed.
set -u
cd "$(dirname "$0")/.."
export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
RESULTS=build/results
FUZZ_RUNS=20000
# Each input of the claim target drives several owners. With these options each of
# the eight deliberate faults of docs/PROOF.md is found within 466 runs.
CLAIM_FUZZ_OPTIONS="-runs=1500 -len_control=0 -max_len=600"
# 20,000 inputs take 137 s of the ten minutes of a CI run; the inputs of faults
# that longer runs have found are in the corpus.
MEMBERSHIP_FUZZ_OPTIONS="-runs=8000"

known_red() {
  [ -f KNOWN-RED.txt ] && grep -qE "^test: $1( |$)" KNOWN-RED.txt
}

# run_one NAME SECONDS COMMAND...: runs a test with a time limit and writes its
# result.
run_one() {
  local name=$1 limit=$2 log="build/test-$1.log" start=$SECONDS
  shift 2
  if known_red "$name"; then
    echo "known red, not run: $name"
    return
  fi
  if timeout "$limit" "$@" >"$log" 2>&1; then
    local cases
    cases=$(sed -nE 's/^ +tests +[0-9]+ +([0-9]+) .*/\1/p' "$log")
    echo "passed ${cases:-1}" >"$RESULTS/$name"
    echo "passed $name ($((SECONDS - start)) s)"
  else
    echo "failed 1" >"$RESULTS/$name"
    echo "FAILED $name"
    # The logs of all processes may follow the reason.
    grep -m 3 "^FAILED" "$log"
    tail -n 30 "$log"
  fi
}

run_unit() { run_one "$(basename "$1")" 120 "$1"; }

run_fuzz() {
  local name corpus options="-runs=$FUZZ_RUNS"
  name=$(basename "$1")
  corpus="test/fuzz/corpus/${name#fuzz-}"
  [ "$name" = fuzz-claim_fuzz ] && options=$CLAIM_FUZZ_OPTIONS
  [ "$name" = fuzz-membership_fuzz ] && options=$MEMBERSHIP_FUZZ_OPTIONS
  mkdir -p "build/corpus/$name"
  [ -d "$corpus" ] || corpus=
  run_one "$name" 600 "$1" -seed=7 $options \
    -artifact_prefix=build/ "build/corpus/$name" $corpus
  rm -rf "build/corpus/$name"
}

# in_parallel FUNCTION FILE...: runs the function on each file, at most six at a
# time.
in_parallel() {
  local function=$1 file
  shift
  for file in "$@"; do
    [ -x "$file" ] || continue
    while [ "$(jobs -rp | wc -l)" -ge 6 ]; do wait -n; done
    "$function" "$file" &
  done
  wait
}

rm -rf "$RESULTS"
mkdir -p "$RESULTS"
[ -f KNOWN-RED.txt ] && cat KNOWN-RED.txt
in_parallel run_unit build/san/unit-*_test
in_parallel run_fuzz build/fuzz/fuzz-*_fuzz
for script in test/functional/*_test.sh; do
  [ -x "$script" ] && run_one "$(basename "$script" .sh)" 120 "$script"
done
cat "$RESULTS"/* | awk '
  { sum[$1] += $2 }
  END { printf "%d passed, %d failed\n", sum["passed"], sum["failed"]
        exit sum["failed"] > 0 }'
