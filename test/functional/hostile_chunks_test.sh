#!/usr/bin/env bash
# Tests nodes beside many chunked bodies at once, in large or very small chunks, whole
# or in pieces, mostly without the end and on connections that stay open. Guards
# against this failure: bodies without a stated length are buffered until the process
# runs out of memory.
source "$(dirname "$0")/hostile.sh"
hostile_begin hostile-chunks

# One chunked body of legal size is served.
head -c "$BODY_BYTES" /dev/zero >"$RUN/upload"
expect "one chunked body" \
  "$(ask 0 /read/2 -H 'Transfer-Encoding: chunked' --data-binary "@$RUN/upload")" "200 *"

for case in chunks-large chunks-large-pieces chunks-small chunks-small-pieces chunks-no-end; do
  hostile_row $case 0
done
hostile_row chunks-large 1
hostile_row chunks-large 3
hostile_end
