#!/usr/bin/env bash
# Sends many requests to a small fleet while its processes are killed, frozen, drained and replaced,
# and checks the execution guarantees. Fails if one is violated or a process panicked.
# Usage: scripts/storm.sh [options of `grebedeck-lab storm`]
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --quiet --bin grebedeck --bin grebedeck-lab
lab=target/release/grebedeck-lab
dir=$(mktemp -d)
size=(--dir "$dir" --entries 3 --agents 6 --first-port 24000)
trap 'kill $(jobs -p) $(cat "$dir"/*.pid) 2>/dev/null || true; rm -rf "$dir"' EXIT

start() { # NAME
    target/release/grebedeck "${1%%-*}" --settings "$dir/$1.json" 2>> "$dir/$1.log" &
    echo $! > "$dir/$1.pid"
}

faults() {
    RANDOM=${SEED:-1}
    sleep 6

    while sleep 0.4; do
        agent=agent-$((3 + RANDOM % 6))
        entry=entry-$((RANDOM % 3))

        case $((RANDOM % 8)) in
            0 | 1 | 2) kill -9 "$(cat "$dir/$agent.pid")" && sleep 0.2 && start "$agent" ;;
            3 | 4) kill -STOP "$(cat "$dir/$agent.pid")" && sleep $((1 + RANDOM % 4)) && kill -CONT "$(cat "$dir/$agent.pid")" ;;
            5) kill -TERM "$(cat "$dir/$agent.pid")" && sleep 0.6 && start "$agent" ;;
            6) kill -9 "$(cat "$dir/$entry.pid")" && sleep 0.2 && start "$entry" ;;
            7) kill -STOP "$(cat "$dir/$entry.pid")" && sleep 1 && kill -CONT "$(cat "$dir/$entry.pid")" ;;
        esac 2> /dev/null || true
    done
}

"$lab" fleet-settings "${size[@]}"
"$lab" fleet-stand-ins "${size[@]}" > "$dir/platform.log" &

for file in "$dir"/*.json; do
    start "$(basename "$file" .json)"
done

faults &
timeout 900 "$lab" storm --dir "$dir" "$@"
grep -h panicked "$dir"/*.log && exit 1 || true
