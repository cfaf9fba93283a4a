#!/usr/bin/env bash
# Runs the program of a case: review/run-case.sh N. The case's own run.sh calls it.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.."
export ENTRY_PROGRAM=$PWD/target/platform/hornbeamlane-gateway
export RECORD=${RECORD:-$here/$1/record.txt}
if [ ! -x "$ENTRY_PROGRAM" ] || [ ! -x "target/review/case-$1" ]; then
    echo "build the deploy file, then run review/build.sh" >&2
    exit 2
fi
WORK_FOLDER=$(mktemp -d)
export WORK_FOLDER
child=
# shellcheck disable=SC2064
trap 'if [ -n "$child" ]; then kill -9 "$child" 2>/dev/null; fi; rm -rf "$WORK_FOLDER"' EXIT
trap 'exit 2' INT TERM
"target/review/case-$1" &
child=$!
wait "$child"
status=$?
child=
if [ -n "${KEEP_LOGS:-}" ]; then
    cp "$WORK_FOLDER"/*.log "$KEEP_LOGS"/
fi
[ $status -le 2 ] || status=2
exit $status
