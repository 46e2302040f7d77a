#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[[ -x target/review/release/review-standins && -x target/release/shedtally ]] || exit 2
timeout --kill-after=2 118 target/review/release/review-standins mistake "$here"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
