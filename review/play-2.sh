#!/bin/sh
# Plays a case of the second review: play-2.sh FOLDER SCENARIO. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. Ends all processes that were started, and removes the temporary folder.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review-2/world ] || [ ! -x target/release/whinwall-controller ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
TMPDIR=$(mktemp -d) || exit 2
PIDS="$TMPDIR/pids"
RECORD="$folder/record.txt"
export RUN_COMMAND TMPDIR PIDS RECORD
: > "$PIDS"
finish() {
    while read -r pid; do
        if grep -q whinwall "/proc/$pid/comm" 2>/dev/null; then
            kill -9 "$pid" 2>/dev/null
        fi
    done < "$PIDS"
    rm -rf "$TMPDIR"
}
trap 'kill -9 "$world" 2>/dev/null; finish; exit 2' INT TERM HUP
target/review-2/world "$2" &
world=$!
wait "$world"
code=$?
finish
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
