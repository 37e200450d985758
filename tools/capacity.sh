#!/usr/bin/env bash
# Measures the resource use of entry daemons, each a separate process.
# Usage: tools/capacity.sh OUT.csv "1 2 4 8" ENGINES SECONDS RATE [DATACENTRES [CHANGES]]
# The second argument lists the numbers of entry daemons; each number is measured in turn for SECONDS.
# ENGINES is the number of model engines, and RATE the requests per second over all entry daemons.
# CHANGES is the number of configuration changes during the measurement, about one per second.
set -eu
cd "$(dirname "$0")/.."
out=$1 sizes=$2 engines=$3 seconds=$4 rate=$5 datacentres=${6:-1} changes=${7:-0}
header=--header
: > "$out"
for n in $sizes; do
  dir=$(mktemp -d)
  pids=()
  bin/hoistdev standins --dir "$dir" --entries "$n" --datacentres "$datacentres" --engines "$engines" --services 4 \
    > "$dir/standins.out" 2> "$dir/standins.err" &
  standins=$!
  # standins prints one line per entry daemon once it has written the settings file.
  until [ "$(grep -c . "$dir/standins.out")" -eq "$n" ]; do sleep 0.1; done
  for i in $(seq 1 "$n"); do
    bin/knapweedhoist serve -c "$dir/entry-$i.yaml" 2> "$dir/entry-$i.log" &
    echo $! > "$dir/entry-$i.pid"
    pids+=($!)
  done
  # Leaves time for membership to become stable, shards and watchers to be assigned, and endpoints to be read.
  sleep 15
  if [ "$changes" -gt 0 ]; then
    operators=$(awk '$1 == "operators:" && $2 != "" {print $2; exit}' "$dir/entry-1.yaml")
    for c in $(seq 1 "$changes"); do
      HOISTCTL_ADDRESS=$operators HOISTCTL_KEY=dev-operator bin/hoistctl preset edit peak \
        "headroom_percent=$((20 + c))" > "$dir/change-$c.out" 2>&1
      sleep 1
    done &
  fi
  bin/hoistdev load --dir "$dir" --seconds "$seconds" --rate "$rate" $header | tee -a "$out"
  header=
  kill "${pids[@]}" 2> /dev/null || true
  wait "${pids[@]}" 2> /dev/null || true
  kill "$standins" 2> /dev/null || true
  wait "$standins" 2> /dev/null || true
  grep -l 'invariant violated' "$dir"/*.log || true
  rm -rf "$dir"
done
