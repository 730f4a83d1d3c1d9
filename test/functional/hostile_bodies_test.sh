#!/usr/bin/env bash
# Tests nodes beside many bodies of legal size at once, whole or in pieces, mostly
# without the last byte and on connections that stay open. Guards against this
# failure: each body is buffered, and the process runs out of memory.
source "$(dirname "$0")/hostile.sh"
hostile_begin hostile-bodies

# One body of legal size is served.
head -c "$BODY_BYTES" /dev/zero >"$RUN/upload"
expect "one body" "$(ask 0 /read/2 --data-binary "@$RUN/upload")" "200 *"

for case in bodies-whole bodies-pieces bodies-pipelined bodies-complete; do
  hostile_row $case 0
done
hostile_row bodies-whole 1
hostile_row bodies-whole 3
hostile_end
