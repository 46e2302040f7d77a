#!/usr/bin/env bash
# Case 6. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 runs it without the disruption. record.txt has what was sent, answered and run.
set -u
cd "$(dirname "$0")/../.." || exit 2
world=target/review-2/world
program=target/release/shedtally
[[ -x $world && -x $program ]] || { echo "build first: cargo build --release; review/build-2.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 1 118 "$world" limits "$program" review/6/record.txt "$folder" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
code=$?
# A run that was cut off has left its controllers, and is no verdict.
case $code in
0 | 1) ;;
*)
    kill "$child" 2>/dev/null
    [[ -f $folder/pids ]] && xargs -r kill -9 <"$folder/pids" 2>/dev/null
    code=2
    ;;
esac
rm -rf "$folder"
exit "$code"
