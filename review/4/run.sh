#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case=$root/build/review/case-$(basename "$here")
if [ ! -x "$case" ] || [ ! -x "$root/target/hawthornseam-sidecar" ]; then
  echo "not run: build the deploy file's program and run review/build.sh first"
  exit 2
fi
exec "$case" "$root" "$here/record.txt"
