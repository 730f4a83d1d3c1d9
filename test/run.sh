#!/usr/bin/env bash
# Runs the unit tests, the fuzz targets on their corpus with fixed seeds, and
# the functional tests. The last line is "N passed, N failed". Tests named in
# KNOWN-RED.txt are not run; their entries are printed.
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
known_red() {
  [ -f KNOWN-RED.txt ] && grep -qE "^test: $1( |$)" KNOWN-RED.txt
}
# run NAME SECONDS COMMAND...: runs one test binary or script.
run() {
  local name=$1 limit=$2 log="build/test-$1.log"
  shift 2
  if known_red "$name"; then
    echo "known red, not run: $name"
    return
  fi
  if timeout "$limit" "$@" >"$log" 2>&1; then
    local cases
    cases=$(sed -nE 's/^ +tests +[0-9]+ +([0-9]+) .*/\1/p' "$log")
    passed=$((passed + ${cases:-1}))
  else
    failed=$((failed + 1))
    echo "FAILED $name (exit $?)"
    tail -n 30 "$log"
  fi
}
[ -f KNOWN-RED.txt ] && cat KNOWN-RED.txt
export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
for binary in build/san/unit-*_test; do
  [ -x "$binary" ] && run "$(basename "$binary")" 120 "$binary"
done
for binary in build/fuzz/fuzz-*_fuzz; do
  [ -x "$binary" ] || continue
  name=$(basename "$binary")
  corpus="test/fuzz/corpus/${name#fuzz-}"
  mkdir -p "build/corpus/$name"
  [ -d "$corpus" ] || corpus=
  run "$name" 120 "$binary" -seed=7 -runs=20000 -max_total_time=60 \
    -artifact_prefix=build/ "build/corpus/$name" $corpus
  rm -rf "build/corpus/$name"
done
for script in test/functional/*_test.sh; do
  [ -x "$script" ] && run "$(basename "$script" .sh)" 120 "$script"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
