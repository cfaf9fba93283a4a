#!/usr/bin/env bash
# An order crashes each server that begins to run it, a few ms after it has come, and comes again. Exits with 1 if it
# reaches servers more than three times later than ContactMs after the third crash, 0 if not, 2 if the case can't run.
# TROUBLE=0: no such order. TROUBLE=later: the servers crash 60 ms after it has come.
source "$(dirname "$0")/../stand-ins-2/case.sh"
variant=at-once
[ "$trouble" = 0 ] && variant=calm
[ "$trouble" = later ] && variant=later
"$stand_ins/deadly-order" "$case_folder/record.txt" "$world_ip" "$(frontends 2)" "$(readies 2)" "$variant" \
    >"$work/world.log" 2>&1 &
world=$!
other_pids+=("$world")
await_line "$work/world.log" listening || { cat "$work/world.log"; exit 2; }
for n in 1 2; do start_gateway "$n" 2 a; done
wait "$world"
status=$?
cat "$work/world.log"
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"
exit $status
