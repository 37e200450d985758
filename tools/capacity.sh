#!/usr/bin/env bash
# Measures the cost of entry daemons as separate processes in one data centre.
# Usage: tools/capacity.sh OUT.csv "1 2 4 8" ENGINES SECONDS RATE
set -eu
cd "$(dirname "$0")/.."
out=$1 sizes=$2 engines=$3 seconds=$4 rate=$5
header=--header
: > "$out"
for n in $sizes; do
  dir=$(mktemp -d)
  pids=()
  bin/hoistdev standins --dir "$dir" --entries "$n" --datacentres 1 --engines "$engines" --services 4 \
    > "$dir/standins.out" 2> "$dir/standins.err" &
  standins=$!
  until [ "$(grep -c . "$dir/standins.out")" -eq "$n" ]; do sleep 0.1; done
  for i in $(seq 1 "$n"); do
    bin/knapweedhoist serve -c "$dir/entry-$i.yaml" 2> "$dir/entry-$i.log" &
    echo $! > "$dir/entry-$i.pid"
    pids+=($!)
  done
  # Membership settles, shards and watchers are assigned, and endpoints are read.
  sleep 15
  bin/hoistdev load --dir "$dir" --seconds "$seconds" --rate "$rate" $header | tee -a "$out"
  header=
  kill "${pids[@]}" 2> /dev/null || true
  wait "${pids[@]}" 2> /dev/null || true
  kill "$standins" 2> /dev/null || true
  wait "$standins" 2> /dev/null || true
  grep -l 'invariant violated' "$dir"/*.log || true
  rm -rf "$dir"
done
