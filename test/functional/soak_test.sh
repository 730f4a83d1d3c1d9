#!/usr/bin/env bash
# Guards against promises that break when faults overlap: a short seeded run of
# the soak under the sanitizers. Seeds that once failed stay in the list:
#   2001  the soak's own target used a request that its answer had freed
cd "$(dirname "$0")/../.."
VARIANT=san SECONDS_EACH=36 test/soak/run.sh 2001
