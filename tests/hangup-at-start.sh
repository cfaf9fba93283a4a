#!/usr/bin/env bash
# Guards against a SIGHUP that ends an entry which still reads its settings (soak seed 310: an entry was hung up while it
# started, and its callers were not served).
#   tests/hangup-at-start.sh PROGRAM
set -euo pipefail
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkfifo "$work/settings"
"$1" --check --settings "$work/settings" &
pid=$!
# Opening the pipe waits until the program has opened it to read.
exec 3>"$work/settings"
kill -HUP "$pid"
cat >&3 <<JSON
{"NodeName":"entry","Zone":"a","Zones":{"a":"r"},"Ip":"127.0.0.1",
 "Listen":{"Frontend":"127.0.0.1:18080","Ready":"127.0.0.1:18081"},"InternalPorts":[17340,17355],"SeedNodes":[],
 "Limits":{"MaxFds":1024},"Bounds":{"GraceS":6,"RetryBudgetRatio":0.5,"RetryAllowance":200,"BudgetWindowS":10},
 "Platform":{"Address":"127.0.0.1:18223"}}
JSON
exec 3>&-
wait "$pid"
