#!/usr/bin/env bash
# Another writer adds an entry of a service that the config does not name; it states rank 0 of a group at the address of
# rank 2. Exits with 1 if a pass begins with different maps, 0 if not, 2 if the case can't run. TROUBLE=0: no such entry.
source "$(dirname "$0")/../stand-ins-2/case.sh"
variant=odd
[ "$trouble" = 0 ] && variant=calm
"$stand_ins/odd-service" "$case_folder/record.txt" "$world_ip" "$(frontends 3)" "$(readies 3)" "$variant" \
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
