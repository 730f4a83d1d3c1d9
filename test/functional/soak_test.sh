#!/usr/bin/env bash
# Guards against promises that are broken when faults overlap: a short run of the
# soak with sanitizers. test/soak/seeds.txt lists the seeds that once failed.
cd "$(dirname "$0")/../.."
VARIANT=san SECONDS_EACH=36 test/soak/run.sh 2001
