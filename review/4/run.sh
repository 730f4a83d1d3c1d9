#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec "$root/build/review/case-$(basename "$here")" "$root" "$here/record.txt"
