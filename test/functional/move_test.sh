#!/usr/bin/env bash
# Guards against: a good version that is not in force at the stated time; a bad
# version that is not taken back, gets more than its share before that, or still
# gets calls afterwards; calls that fail because of a move. The stated time has
# to be at least 60 s ahead, so both moves run at once and the script takes 80 s.
source "$(dirname "$0")/mesh.sh"
mesh_begin move
mesh_store
index=0
for zone in praha-a praha-b kladno-c; do
  for number in 1 2 3 4; do
    mesh_node "$zone-$number" "$zone" cz-central $index
    index=$((index + 1))
  done
  mesh_target "$zone-1" zapisy v1 --slots 12
  mesh_target "$zone-2" zapisy v2 --slots 12
  mesh_target "$zone-3" archiv v1 --slots 16
  mesh_target "$zone-4" archiv v2 --slots 16 --fail-rate 0.3
done
for slot in "${NODES[@]}"; do
  wait_for "$slot is ready" 20 is_ready "$slot" \
    || fail "$slot did not become ready"
done
"$BIN/example-zapis" >"$RUN/zapis.yaml"
ctl praha-a-1 apply "$RUN/zapis.yaml" >/dev/null \
  || fail "the first configuration was not accepted"
wait_for "version 1 everywhere" 7 all_nodes_at 1 \
  || fail "version 1 is not in force on all nodes"
for version in v1 v2; do
  for service in zapisy archiv; do
    wait_for "targets of $service $version" 10 \
      all_see_targets "$service" "$version" 3 \
      || fail "not all targets are ready"
  done
done

load_start load "praha-a-1 praha-b-3 kladno-c-2" --rate 600 --concurrency 64 \
  --duration-s 90 --unique --path 1:GET:/zapisy/1 --path 1:GET:/archiv/1
stated=$(($(date +%s) + 64))
by=$(date -u -d "@$stated" +%Y-%m-%dT%H:%M:%SZ)
grep -v "^moves:" "$RUN/zapis.yaml" | cat - /dev/fd/3 \
  >"$RUN/moves.yaml" 3<<YAML
moves:
  - {name: zapisy-good, service: zapisy, from: v1, to: v2, by: $by}
  - {name: archiv-bad, service: archiv, from: v1, to: v2, by: $by}
YAML
ctl praha-b-1 apply "$RUN/moves.yaml" >"$RUN/apply.txt" 2>&1 \
  || fail "apply of the moves: $(tail -n 3 "$RUN/apply.txt")"

# served VERSION: prints the calls that the targets of archiv have served so far.
served() {
  local zone number=3 sum=0
  [ "$1" = v2 ] && number=4
  for zone in praha-a praha-b kladno-c; do
    sum=$((sum + $(target_figure "$zone-$number" served)))
  done
  echo "$sum"
}
move_is() { ctl praha-a-2 move status "$1" | grep -q "$1.*$2"; }
wait_for "end of the bad move" 63 move_is archiv-bad taken_back \
  || fail "the bad move is not taken back: $(ctl praha-a-2 move status)"
ctl praha-a-2 move status archiv-bad
old=$(served v1)
new=$(served v2)
echo "taken back $((stated - $(date +%s))) s before the stated time;" \
  "the bad version served $new of $((old + new)) calls"
[ $((20 * new)) -le $((old + new)) ] || fail "the bad version got more than 5%"
sleep 3
new=$(served v2)
old=$(served v1)
more_calls() { [ "$(served v1)" -ge $((old + 500)) ]; }
wait_for "calls of the old version" 20 more_calls \
  || fail "the old version gets no calls"
[ "$(served v2)" -eq "$new" ] \
  || fail "the bad version got calls after it was taken back"

wait_for "end of the good move" $((stated - $(date +%s) + 2)) \
  move_is zapisy-good done \
  || fail "the good move is not done: $(ctl praha-a-2 move status)"
ctl praha-a-2 move status zapisy-good
echo "done $((stated - $(date +%s))) s before the stated time"
move_is archiv-bad taken_back || fail "the bad move is no longer taken back"
[ "$(served v2)" -eq "$new" ] \
  || fail "the bad version got calls after it was taken back"
ctl praha-a-2 get | grep -A1 'name: zapisy$' | grep -q 'version: v2' \
  || fail "the service does not have the new version"
load_stop load
calls=$(load_figure load calls)
ran=$(load_figure load ran)
error=$(load_figure load ran_error)
echo "load: $calls calls, $ran ran, $error errors of the bad version"
[ $((100 * (calls - ran - error))) -le "$calls" ] || fail "calls failed"
echo "move_test passed"
