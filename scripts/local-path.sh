# shellcheck shell=bash
# Functions that start the whole path on loopback with stand-ins. Sourced by scripts/demo and the tests of processes.
# Everything that was started is stopped, by process id, when the sourcing script ends.

build=$PWD/${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
declare -A pid_of
failures=0

stop_all() {
    kill "${pids[@]}" 2>/dev/null || true
    for _ in $(seq 100); do
        kill -0 "${pids[@]}" 2>/dev/null || break
        sleep 0.1
    done
    kill -9 "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    pids=()
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process in the background with its output in a file.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    pid_of[$name]=$!
}

# port NAME PATTERN: waits for the port that the process reports.
port() {
    for _ in $(seq 100); do
        local found
        found=$(grep -oE "$2[0-9]+" "$work/$1.log" | grep -oE '[0-9]+$' | head -1 || true)
        [ -n "$found" ] && { echo "$found"; return; }
        sleep 0.1
    done
    echo "process $1 did not start:" >&2
    cat "$work/$1.log" >&2
    exit 1
}

step() { printf '\n== %s\n' "$1"; }

# check TEXT COMMAND...: runs the command and counts a failure.
check() {
    local text=$1
    shift
    if "$@" >"$work/check.out" 2>&1; then
        echo "ok      $text"
    else
        echo "FAILED  $text"
        cat "$work/check.out"
        failures=$((failures + 1))
    fi
}

start_backends() {
    start platform "$build/testing/hornbeamlane-standin" --kind platform
    platform=127.0.0.1:$(port platform 'listening on 127.0.0.1:')
    entries_json=()
    for zone in a b; do
        for kind in engine service; do
            start "$kind-$zone" "$build/testing/hornbeamlane-standin" --kind $kind
            backend=127.0.0.1:$(port "$kind-$zone" 'listening on 127.0.0.1:')
            start "agent-$kind-$zone" "$build/programs/hornbeamlane-agent" --server "$kind-$zone" --host "host-$kind-$zone" \
                --data_centre "$zone" --engine_address "$backend" --platform_address "$platform"
            agent=127.0.0.1:$(port "agent-$kind-$zone" 'link_port=')
            serves='"models": ["draft"]'
            [ $kind = service ] && serves='"services": ["orders"]'
            entries_json+=("{\"kind\": \"backendServer\", \"name\": \"$kind-$zone\", \"owner\": \"ops\", \"class\": \"counter\",
                \"limits\": {\"concurrency\": 8}, \"dataCentre\": \"$zone\", \"host\": \"host-$kind-$zone\",
                \"agentAddress\": \"$agent\", $serves}")
        done
    done
}

write_catalogue() {
    mkdir "$work/catalogue"
    {
        echo '{"entries": ['
        printf '%s,\n' "${entries_json[@]}"
        cat <<'JSON'
    {"kind": "class", "name": "counter", "owner": "ops", "class": "counter", "limits": {}, "priority": 5,
     "deadlineMilliseconds": 15000},
    {"kind": "dataCentre", "name": "a", "owner": "ops", "class": "counter", "limits": {}, "region": "north"},
    {"kind": "dataCentre", "name": "b", "owner": "ops", "class": "counter", "limits": {}, "region": "north"},
    {"kind": "model", "name": "draft", "owner": "ops", "class": "counter", "limits": {}},
    {"kind": "service", "name": "orders", "owner": "ops", "class": "counter", "limits": {}, "calls": [
        {"method": "POST", "pathPrefix": "/orders", "repeatable": false, "idempotencyKey": "required"},
        {"method": "GET", "pathPrefix": "/", "repeatable": true}]},
    {"kind": "team", "name": "workshop", "owner": "ops", "class": "counter", "limits": {"concurrency": 24},
     "floors": {"a": 4, "b": 4}, "models": ["draft"], "services": ["orders"]}
]}
JSON
    } >"$work/catalogue/all.json"
    ctl=("$build/programs/ctl/hornbeamlanectl" --table "$platform")
}

start_entries() {
    hosts_json=()
    for zone in a b; do
        start "entry-$zone" "$build/programs/hornbeamlane-entry" --name "entry-$zone" --data_centre "$zone" \
            --platform_address "$platform"
        declare -g "entry_$zone=127.0.0.1:$(port "entry-$zone" 'http_port=')"
        hosts_json+=("{\"name\": \"entry-$zone\", \"dataCentre\": \"$zone\", \"role\": \"entry\", \"state\": \"live\",
            \"address\": \"127.0.0.1:$(port "entry-$zone" 'link_port=')\"}")
    done
    curl -sf -X PUT -d "{\"hosts\": [${hosts_json[0]}, ${hosts_json[1]}]}" "http://$platform/v1/hosts" >/dev/null
}

ready() { for _ in $(seq 100); do curl -sf "http://$1/readyz" && return; sleep 0.1; done; return 1; }

# eventually SECONDS COMMAND...: repeats the command until it succeeds.
eventually() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.2
    done
}
confirmed() { "${ctl[@]}" status --output json | grep -q '"missing": *\[\]'; }

# chat ENTRY [TOKENS]: a streamed chat request.
chat() {
    curl -sSN --max-time 60 -H 'X-Hornbeamlane-Team: workshop' -H 'Content-Type: application/json' \
        -d '{"model": "draft", "stream": true, "max_tokens": '"${2:-8}"',
             "messages": [{"role": "user", "content": "Zip care"}]}' \
        "http://$1/v1/chat/completions"
}
order() {
    curl -sS --max-time 20 -H 'X-Hornbeamlane-Team: workshop' -H "Idempotency-Key: $2" -d '{"item": "zip"}' \
        "http://$1/services/orders/orders"
}
streams_whole() { chat "$1" | tee "$work/chat.out" | grep -q '\[DONE\]'; }
orders_once() { order "$1" "$2" | tee "$work/order.out" | grep -q '"order"'; }

executions() {
    for zone in a b; do curl -sf "http://127.0.0.1:$(port "service-$zone" 'listening on 127.0.0.1:')/executions"; done
}
