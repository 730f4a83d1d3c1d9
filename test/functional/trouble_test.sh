#!/usr/bin/env bash
# Tests sidecars beside targets and callers that violate the protocol. Guards
# against these failures: a response body without end fills a node's memory or
# holds its caller beyond the route's timeout; a request that the target did not
# run is not reported as such because the target's refusal has no end; a target
# or a caller forges the headers between nodes; a caller reaches the nodes'
# interface; a response that breaks off takes the other requests of its connection
# with it.
source "$(dirname "$0")/sidecars.sh"
mesh_begin trouble
sidecars_begin

# resident NODE: kilobytes of memory in use.
resident() { awk '/^VmRSS/ { print $2 }' "/proc/${PID[s$1]}/status"; }

# timed NODE PATH [OPTION...]: prints the status and the milliseconds it took.
timed() {
  local i=$1 path=$2
  shift 2
  curl -s -m 5 -o /dev/null -w '%{http_code} %{time_total}\n' "$@" -H 'Host: a.example' \
    -H "Hawthornseam-Request-Id: $(date +%s%N)-$BASHPID" \
    -H 'Hawthornseam-Deadline-Ms: 4000' "http://127.0.0.1:$(port "$i" 0)$path" \
    | awk '{ printf "%s %d\n", $1, $2 * 1000 }'
}

for i in 0 1 2; do sidecar_run $i; done
put_config 0000000a orders
for i in 0 1 2; do wait_for "ready $i" 10 ready $i || fail "node $i is not ready"; done
report_all
wait_for "first answer" 10 answers 0 /read/1 200 || fail "no request is answered"
before=0
for i in 0 1 2; do before=$((before + $(resident $i))); done

# KIND STATUS MILLISECONDS: the route's timeout is 1500 ms; a body that has begun
# may take 500 ms longer.
while read -r kind status most; do
  for path in /read /seal; do
    read -r got took < <(timed 0 "$path/endless-$kind")
    expect "$path of endless-$kind" "$got" "$status"
    [ "$took" -le "$most" ] || fail "$path of endless-$kind took $took ms, $most allowed"
    report_all
  done
done <<'ROWS'
ok 200 2100
error 500 2100
foreign 502 700
shed 503 700
ROWS
# A body of 16 KB each 2 ms for 1.5 s would be 12 MB for each request.
after=0
for i in 0 1 2; do after=$((after + $(resident $i))); done
[ $((after - before)) -le 6144 ] || fail "three nodes grew from $before KB to $after KB"
wait_for "requests after that" 3 answers 0 /read/2 200 || fail "no request is answered after bodies without end"

# A target that claims in its node's name that it did not run a request.
expect "forged outcome" "$(ask 0 /seal/forge)" "200 i-*"

# A response that breaks off behind an unfinished one: the other requests of the
# connection keep theirs, and nothing of it reaches the caller.
exec {PIPE}<>"/dev/tcp/127.0.0.1/$(port 0 0)"
for path in slow/1 break/2 ok/3; do
  printf 'GET /read/%s HTTP/1.1\r\nHost: a.example\r\nHawthornseam-Request-Id: p%s-%s\r\nHawthornseam-Deadline-Ms: 1200\r\n\r\n' \
    $path $RANDOM$RANDOM ${path%/*} >&$PIPE
done
timeout 2 cat <&$PIPE >"$RUN/pipeline" 2>/dev/null
exec {PIPE}>&-
expect "pipelined requests beside one that breaks off" \
  "$(grep -oE 'HTTP/1.1 [0-9]+' "$RUN/pipeline" | tr -d '\n')" "HTTP/1.1 200HTTP/1.1 502HTTP/1.1 200"

# A caller that speaks like a node gets nothing of the nodes' interface, and its
# request starts at its own node.
for path in view changes/1 evidence; do
  expect "/_hawthornseam/$path" "$(ask 0 /_hawthornseam/$path)" "404*"
done
expect "forged hop" "$(ask 0 /read/3 -H 'Hawthornseam-Hop: menu v1 0 1 2 3 0 0 0' -H 'Hawthornseam-Outcome: ran')" "200 i-[bc]"

read -r runs twice crashed < <(curl -s "$STORE/control/runs")
[ "$twice" = 0 ] || fail "$twice of $runs requests ran twice"
echo "passed: $runs requests, three nodes grew by $((after - before)) KB"
