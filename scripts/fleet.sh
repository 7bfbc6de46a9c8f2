#!/usr/bin/env bash
# Measures many real processes on loopback: writes their settings, starts the platform and target
# stand-ins, the entries and the agents, and runs one measurement.
# Usage: scripts/fleet.sh ENTRIES AGENTS [further options of `grebedeck-lab fleet-measure`]
set -euo pipefail
cd "$(dirname "$0")/.."

entries=${1:?number of entries}
agents=${2:?number of agents}
shift 2

cargo build --release --quiet --bin grebedeck --bin grebedeck-lab
lab=target/release/grebedeck-lab
dir=$(mktemp -d)
size=(--dir "$dir" --entries "$entries" --agents "$agents")
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$dir"' EXIT

# A small instance has one worker thread per process.
export ASYNC_STD_THREAD_COUNT=1

"$lab" fleet-settings "${size[@]}"
ASYNC_STD_THREAD_COUNT=4 "$lab" fleet-stand-ins "${size[@]}" > "$dir/platform.log" &

for file in "$dir"/*.json; do
    name=$(basename "$file" .json)
    target/release/grebedeck "${name%%-*}" --settings "$file" 2> "$dir/$name.log" &
    echo $! > "$dir/$name.pid"
done

ASYNC_STD_THREAD_COUNT=4 timeout 300 "$lab" fleet-measure "${size[@]}" "$@"
echo "platform calls a second: $(tail -n 12 "$dir/platform.log" | tr '\n' ' ')"
