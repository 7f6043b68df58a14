#!/bin/sh
# Plays one case: play.sh CASE FOLDER. The record goes to FOLDER/record.txt. TROUBLE=0 leaves the disruption out.
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
world=$root/review/bin/world
run=$(sed -n 's/^run *= *"\(.*\)" *$/\1/p' deploy/balancer.toml)
if [ ! -x "$world" ] || [ -z "$run" ]; then
    echo "could not run: build first (the deploy file's build, then review/build.sh)"
    exit 2
fi
work=$(mktemp -d) || exit 2
# The stand-ins end the governors and remove the file of their ids. It is left only if they were ended themselves.
stop() {
    for pid in $(cat "$work/pids" 2>/dev/null); do
        kill -9 "$pid" 2>/dev/null
    done
    rm -rf "$work"
}
trap 'kill "$child" 2>/dev/null; wait "$child"; stop; exit 2' INT TERM HUP
"$world" "$case_name" "$folder/record.txt" "$run" "$work" &
child=$!
wait "$child"
code=$?
stop
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
