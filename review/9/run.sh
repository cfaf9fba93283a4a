#!/usr/bin/env bash
# A zone is taken back after an evacuation; its servers have become cold shortly before. Exits with 1 if a cold server
# gets more requests in one second than the bound, 0 if not, 2 if the case can't run. TROUBLE=0: no evacuation and no
# cold servers. TROUBLE=early: the entries say so 1.5 s before the zone is taken back.
source "$(dirname "$0")/../stand-ins-2/case.sh"
variant=evacuated
[ "$trouble" = 0 ] && variant=calm
[ "$trouble" = early ] && variant=early
"$stand_ins/cold-zone" "$case_folder/record.txt" "$world_ip" "$(frontends 3)" "$(readies 3)" "$variant" \
    >"$work/world.log" 2>&1 &
world=$!
other_pids+=("$world")
await_line "$work/world.log" listening || { cat "$work/world.log"; exit 2; }
for n in 1 2 3; do start_gateway "$n" 3 a; done
wait "$world"
status=$?
cat "$work/world.log"
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"
exit $status
