#!/usr/bin/env bash
# Runs one of the programs of the cases, and ends all processes that it started. KEEP=1 keeps the logs.
set -uo pipefail
name=$1
case=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
program="$root/target/review/release/$name"

if [ ! -x "$program" ] || [ ! -x "$root/target/release/grebedeck" ]; then
    echo "the case did not run: build the project and review/build.sh first"
    exit 2
fi

folder=$(mktemp -d)
"$program" "$root" "$folder" "$case/record.txt" &
id=$!

# Only if this script is stopped: the program ends its processes itself otherwise.
stop() {
    kill -KILL "$id" 2>/dev/null
    [ -f "$folder/ids" ] && xargs -r -n1 kill -KILL < "$folder/ids" 2>/dev/null
    rm -rf "$folder"
    exit 2
}
trap stop INT TERM

wait "$id"
status=$?

if [ -n "${KEEP:-}" ]; then
    echo "logs are kept in $folder"
else
    rm -rf "$folder"
fi

case $status in
    0 | 1 | 2) exit "$status" ;;
    *) exit 2 ;;
esac
