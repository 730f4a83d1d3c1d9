#!/usr/bin/env bash
# Tests entries of another writer among the keys that sidecars read. Guards
# against these failures: one odd entry ends the processes that read it, or keeps
# them, or the nodes that follow them, from newer keys; an entry with a number out
# of range names a target; a node whose own entry was overwritten is lost to the
# others; a restarted node gets no view while the store is away.
source "$(dirname "$0")/sidecars.sh"
mesh_begin odd
sidecars_begin

# put KEY FILE: writes a key as another writer would.
put() { curl -s -o /dev/null -X POST "$STORE/control/put?$1" -H 'Expect:' --data-binary @"$2"; }

# nested COUNT: prints that many opening brackets.
nested() { head -c "$1" /dev/zero | tr '\0' '['; }

# entry NODE [FIELD VALUE]...: prints an entry; each VALUE replaces that of FIELD.
entry() {
  local node=$1 text
  text="{\"node\":\"$node\",\"availability_zone\":\"z0\",\"service\":\"orders\",\"version\":\"v1\",\"instance\":\"i-x\",\"address\":2130706433,\"port\":$(port 1 1),\"slots\":4,\"state\":1,\"cold_ms\":0,\"epoch\":1,\"started_ms\":1,\"leaving\":false}"
  shift
  while [ $# -gt 0 ]; do
    text=$(echo "$text" | sed -E "s/\"$1\":(\"[^\"]*\"|[^,}]*)/\"$1\":$2/")
    shift 2
  done
  echo -n "$text"
}

alive() { kill -0 "${PID[$1]}" 2>/dev/null; }
routed() { answers "$1" /read/x "$2"; }

# follows WHAT: a new configuration reaches all nodes, which are the processes that
# were started.
VERSION=16
follows() {
  local i service=orders
  VERSION=$((VERSION + 1))
  [ $((VERSION % 2)) = 0 ] && service=menu
  put_config "$(printf '%08x' $VERSION)" $service
  report_all
  for i in 0 1 2; do
    alive s$i || fail "$1: node $i has ended"
    wait_for "$1: node $i follows" 3 in_force "$i" "$VERSION" \
      || fail "$1: version $VERSION is not in force on node $i"
  done
}
in_force() { grep -q "event=config_in_force version=$(printf '%x' "$2") " "$RUN/s$1.out"; }

for i in 0 1 2; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 0 /read/1 200 || fail "no request is answered"

mkdir -p "$RUN/odd"
cd "$RUN/odd" || exit 1
nested 3000 >nested
nested 900000 >nested_far
{ entry n-odd | tr -d '}'; printf ',"more":'; nested 2000; } >nested_field
printf '{"a":%0400d}' 9 >number_text
entry n-odd port 99999999999999999999999 >number_large
entry n-odd epoch 1e400 >number_infinite
entry n-odd port 70000 >port
entry n-odd port -1 >port_negative
entry n-odd port $((4294967296 + $(port 1 1))) >port_wrapped
entry n-odd slots $((4294967296 + 4)) >slots_wrapped
entry n-odd state $((4294967296 + 1)) >state_wrapped
entry n-odd cold_ms $((4294967296 + 5)) >cold_wrapped
entry n-odd service '{"a":1}' >type
entry n-odd instance '"a\\u0000b"' >zero_escaped
printf 'a\0b' >zero
printf '\377\376' >no_text
# As large as the store takes: more of them than fit in a view.
for key in a b c d e; do put own/node/large-$key nested_far; done
: >empty
echo -n null >null
entry other >name
cd "$REPOSITORY" || exit 1

for odd in "$RUN"/odd/*; do
  name=$(basename "$odd")
  for key in own/node/n-odd own/move/orders own/crash/n-odd own/left/n-odd/x; do
    put "$key" "$odd"
  done
  follows "$name"
  for i in 0 1 2; do
    ! grep -q "event=entry node=n-odd" "$RUN/s$i.out" || fail "$name: node $i accepts the entry"
  done
done

# One that is refused by its relay has to read all keys from the store itself.
for i in 0 1 2; do
  ! grep -q "event=changes_refused" "$RUN/s$i.out" || fail "node $i cannot read the changes of its relay"
done

# An overwritten entry of a node that is in use.
for odd in nested port number_large zero no_text; do
  seen=$(grep -c "event=entry node=node-2 .* instance=i-c state=1" "$RUN/s0.out")
  put own/node/node-2 "$RUN/odd/$odd"
  back() { [ "$(grep -c "event=entry node=node-2 .* instance=i-c state=1" "$RUN/s0.out")" -gt "$seen" ]; }
  wait_for "$odd: the entry of node 2 is back" 3 back || fail "$odd: the entry of node 2 stays lost"
  follows "overwritten with $odd"
done

# The odd entries are part of a view; a node that starts without the store needs it.
put own/node/n-odd "$RUN/odd/zero"
follows "before the store is away"
curl -s -X POST "$STORE/control/away?1"
stop s2 KILL
sidecar_run 2
has_view() {
  curl -s -m 3 -o /dev/null -H "Hawthornseam-Hop: orders v1 0 1 2 3 0 2130706433 $(port 0 1)" \
    -H "Hawthornseam-Request-Id: h$RANDOM$RANDOM" "http://127.0.0.1:$(port 2 1)/read/x"
  grep -q "event=view_from_peer" "$RUN/s2.out"
}
wait_for "node 2 has a view" 4 has_view || fail "node 2 gets no view"
echo "passed"
