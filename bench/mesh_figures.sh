# Functions that print figures of all nodes of a mesh between two samples:
# control bytes, store calls, processor time and memory. Source this file after
# test/functional/mesh.sh and set FIGURES to the prefix of the printed names.

# now_ms: time of the monotonic clock of the log lines, in steps of 10 ms.
now_ms() {
  local up rest
  read -r up rest </proc/uptime
  echo $((10#${up/./} * 10))
}
# figure NAME VALUE UNIT: prints a figure.
figure() { echo "${FIGURES}_$1 $2 $3"; }

# sample NAME: records the counters, processor ticks and resident memory of each
# node, and the counters of the store.
sample() {
  local slot urls=()
  for slot in "${NODES[@]}"; do
    urls+=("http://127.0.0.1:$(admin_port "$slot")/counters")
  done
  now_ms >"$RUN/$1.at"
  curl -s -m 20 -w '\nnode %{url_effective}\n' "${urls[@]}" \
    | awk '$1 == "peer_bytes_sent" { sent = $2 }
           $1 == "peer_bytes_received" { received = $2 }
           $1 == "store_calls" { calls = $2 }
           $1 == "node" { print sent + 0, received + 0, calls + 0
                          sent = received = calls = 0 }' >"$RUN/$1.counters"
  for slot in "${NODES[@]}"; do
    awk '{ printf "%d ", $14 + $15 }' "/proc/${PID[$slot]}/stat"
    awk '/^VmRSS/ { print $2 }' "/proc/${PID[$slot]}/status"
  done >"$RUN/$1.process"
  paste -d ' ' "$RUN/$1.counters" "$RUN/$1.process" >"$RUN/$1.sample"
  curl -s "http://127.0.0.1:$STORE_PORT/control" \
    | tr -d '{}" \n' | tr ',:' '\n ' >"$RUN/$1.store"
}

# window NAME FROM TO: prints the figures between two samples.
window() {
  local name=$1 ms=$(($(cat "$RUN/$3.at") - $(cat "$RUN/$2.at")))
  paste -d ' ' "$RUN/$2.sample" "$RUN/$3.sample" | awk -v ms="$ms" \
    -v name="${FIGURES}_$name" '
    # The counters of a restarted process start from zero.
    function grown(from, to) { return to < from ? to : to - from }
    { s = grown($1, $6); r = grown($2, $7); c = grown($3, $8)
      t = grown($4, $9); m = $10
      bytes += s + r; calls += c; ticks += t; memory += m
      if (s + r > bytes_max) bytes_max = s + r
      if (t > ticks_max) ticks_max = t
      if (m > memory_max) memory_max = m }
    END {
      s = ms / 1000
      printf "%s_window %.2f s\n", name, s
      printf "%s_peer_bytes_mean %.0f B/s\n", name, bytes / NR / s
      printf "%s_peer_bytes_max %.0f B/s\n", name, bytes_max / s
      printf "%s_store_calls_mean %.4f 1/s\n", name, calls / NR / s
      printf "%s_cpu_mean %.3f %%\n", name, ticks / NR / s
      printf "%s_cpu_max %.3f %%\n", name, ticks_max / s
      printf "%s_memory_mean %.1f MB\n", name, memory / NR / 1024
      printf "%s_memory_max %.1f MB\n", name, memory_max / 1024
    }'
  awk -v ms="$ms" -v name="${FIGURES}_$name" '
    NR == FNR { before[$1] = $2; next }
    $1 ~ /^(get|list)$/ { reads += $2 - before[$1] }
    $1 == "watch" { watches = $2 - before[$1] }
    $1 ~ /^(put|delete|lease|keepalive)$/ { writes += $2 - before[$1] }
    $1 == "refused" { refused = $2 - before[$1] }
    END {
      printf "%s_store_reads %.2f 1/s\n", name, reads * 1000 / ms
      printf "%s_store_watches %.2f 1/s\n", name, watches * 1000 / ms
      printf "%s_store_writes %.2f 1/s\n", name, writes * 1000 / ms
      printf "%s_store_refused %d count\n", name, refused
    }' "$RUN/$2.store" "$RUN/$3.store"
}
