#!/usr/bin/env bash
# Guards against a sidecar that ends, or loses the reload, when SIGHUP arrives
# before its handlers are installed.
source "$(dirname "$0")/sidecars.sh"
mesh_begin early-reload
sidecars_begin
sidecar_settings 1
start s1 "$BIN/standin-pending_reload" "$BIN/hawthornseam-sidecar" --settings "$RUN/s1.yaml"
wait_for "start" 10 grep -q event=started "$RUN/s1.out" || fail "the node did not start"
wait_for "reload" 5 grep -q event=reloaded "$RUN/s1.out" || fail "the settings were not read again"
has_ended "${PID[s1]}" && fail "the node has ended"
send_signal s1 HUP
reloads() { [ "$(grep -c event=reloaded "$RUN/s1.out")" = 2 ]; }
wait_for "second reload" 5 reloads || fail "a later SIGHUP was lost"
echo "passed"
