#!/usr/bin/env bash
# Guards against promises that break when faults overlap: a short seeded run of
# the soak under the sanitizers. test/soak/seeds.txt has the seeds that once failed.
cd "$(dirname "$0")/../.."
VARIANT=san SECONDS_EACH=36 test/soak/run.sh 2001
