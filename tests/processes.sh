#!/usr/bin/env bash
# Tests of real processes with real kills, freezes and planned stops. Each check says which failure it guards against.
# Ends with a line "N passed, N failed". Expects a finished build in BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/local-path.sh

passed=0
verify() {
    local before=$failures
    check "$@"
    [ "$failures" -gt "$before" ] || passed=$((passed + 1))
}

# in_order FILE COUNT: the stream holds every token exactly once, in order, and its end.
in_order() {
    [ "$(grep -oE '"w[0-9]+ "' "$1" | tr -d '"w ')" = "$(seq 0 $(($2 - 1)))" ] && grep -q '\[DONE\]' "$1"
}
# has_tokens FILE: the stream has begun.
has_tokens() { grep -q '"w20 "' "$1"; }
server_of_last_dispatch() { grep -h ' dispatched ' "$work"/entry-*.log | grep 'target=draft' | tail -1 | grep -oE 'server=[a-z-]+' | cut -d= -f2; }
exited() { ! kill -0 "$1" 2>/dev/null; }

# stream_while NAME COMMAND...: runs the command while a stream through entry a is under way, then waits for the stream.
stream_while() {
    local file=$work/$1.stream
    shift
    chat "$entry_a" 400 >"$file" 2>/dev/null &
    local client=$!
    eventually 20 has_tokens "$file" || return 1
    "$@"
    wait "$client" || true
    in_order "$file" 400
}

# Starts everything anew, so that each test has all its servers.
start_path() {
    stop_all
    work=$(mktemp -d)
    start_backends
    write_catalogue
    "${ctl[@]}" apply "$work/catalogue" --base 0 >/dev/null
    start_entries
    verify "entries become ready" ready "$entry_a"
    verify "catalogue is confirmed by every process" eventually 30 confirmed
}

start_path
kill_engine_in_use() { kill -9 "${pid_of[$(server_of_last_dispatch)]}"; }
# Guards against a cut or doubled answer when an engine dies under a stream.
verify "a stream goes on elsewhere after its engine is killed" stream_while engine kill_engine_in_use

start_path
drain_agent_in_use() { kill -TERM "${pid_of[agent-$(server_of_last_dispatch)]}"; }
# Guards against a planned stop of an agent that cuts the streams it carries.
verify "a stream is not cut by a planned stop of its agent" stream_while agent drain_agent_in_use

start_path
ran_times() { [ "$(executions | grep -oE "\"$1\":[0-9]+" | grep -oE '[0-9]+$' | paste -sd+ | bc)" = "$2" ]; }
delay_orders() {
    for zone in a b; do
        curl -sf -X PUT -d "{\"delayMilliseconds\": $1}" \
            "http://127.0.0.1:$(port "service-$zone" 'listening on 127.0.0.1:')/faults" >/dev/null
    done
}
order_with_dead_agents() {
    delay_orders 3000
    order "$entry_a" lost-1 >"$work/lost.out" &
    local client=$!
    eventually 20 ran_times lost-1 1 || return 1
    kill -9 "${pid_of[agent-service-a]}" "${pid_of[agent-service-b]}"
    wait "$client"
    delay_orders 0
    grep -q '"execution":"unknown"' "$work/lost.out"
}
# Guards against "not run" for an order that ran, and against its second run.
verify "an order whose agent is killed has an unknown outcome" order_with_dead_agents
resent_is_unknown() { order "$entry_b" lost-1 | grep -q '"execution":"unknown"'; }
verify "its resend through the other entry is not run either" resent_is_unknown
verify "it has run once" ran_times lost-1 1

start_path
crash_request() {
    curl -sS --max-time 60 -H 'X-Hornbeamlane-Team: workshop' -H 'Content-Type: application/json' \
        -d '{"model": "draft", "messages": [{"role": "user", "content": "crash-the-engine"}]}' \
        "http://$1/v1/chat/completions"
}
quarantines() { crash_request "$entry_a" | grep '"code":"quarantined"'; }
engine_falls() {
    for zone in a b; do curl -sf "http://127.0.0.1:$(port "engine-$zone" 'listening on 127.0.0.1:')/status?fresh=1"; done |
        grep -oE '"falls":[0-9]+' | grep -oE '[0-9]+$' | paste -sd+ | bc
}
at_most_two_falls() { for _ in 1 2 3 4 5; do crash_request "$entry_a"; done; [ "$(engine_falls)" -le 2 ]; }
# Guards against a request that crashes each engine that runs it, while the agents beside them live on.
verify "a request that crashes engines is quarantined" eventually 20 quarantines
verify "it has cost at most two engines" at_most_two_falls
verify "other requests are served afterwards" eventually 20 streams_whole "$entry_a"

start_path
# Guards against a planned stop of an entry that cuts its streams, or that never ends.
stop_entry() { kill -TERM "${pid_of[entry-a]}"; }
verify "a stream is not cut by a planned stop of its entry" stream_while entry stop_entry
verify "the entry ends after its planned stop" eventually 60 exited "${pid_of[entry-a]}"

# Guards against a frozen entry that goes on with what it held when it wakes up.
freeze_entry() {
    kill -STOP "${pid_of[entry-b]}"
    sleep 6
    kill -CONT "${pid_of[entry-b]}"
}
verify "an entry is frozen and resumed" freeze_entry
verify "it serves again" eventually 30 streams_whole "$entry_b"

echo "$passed passed, $failures failed"
exit $((failures > 0))
