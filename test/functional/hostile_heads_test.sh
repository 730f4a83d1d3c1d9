#!/usr/bin/env bash
# Tests nodes beside many connections that each hold a head of legal size with many
# short or odd lines, whole or in pieces, mostly without the end. Guards against this
# failure: the lines cost many times their bytes, and the process runs out of memory
# or of descriptors.
source "$(dirname "$0")/hostile.sh"
hostile_begin hostile-heads

# One head of legal size is served.
for line in a: "x!#$: $(printf '%140s.')"; do
  for _ in $(seq 80); do echo "$line"; done >"$RUN/lines"
  expect "80 lines of '${line:0:4}'" "$(ask 0 /read/2 -H "@$RUN/lines")" "200 *"
done

for case in heads-short heads-short-pieces heads-many heads-odd heads-odd-pieces heads-pipelined; do
  hostile_row $case 0
done
hostile_row heads-odd 1
hostile_row heads-odd 3
hostile_end
