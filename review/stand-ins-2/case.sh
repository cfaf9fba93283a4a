# Common part of the scripts of cases 6 to 10, read with `source`. Starts the program of the deploy file with settings
# like those of DEPLOY.md on loopback addresses of its own, and ends what it has started.
set -uo pipefail
case_folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$case_folder/../.." || exit 2
trouble=${TROUBLE:-1}
stand_ins=target/review-2
# shellcheck disable=SC2207
gateway_command=($(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml))
if [ ! -x "${gateway_command[0]}" ] || [ ! -d "$stand_ins" ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
net=127.$((100 + $$ % 100)).$((1 + $$ / 100 % 250))
world_ip=$net.1
declare -A gateway_pids=()
other_pids=()

end_case() {
    local pid
    for pid in "${gateway_pids[@]}" "${other_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$work"
}
trap end_case EXIT

# gateway_ip N: the address of gateway N; its ports are 18227 (Frontend) and 18220 (Ready).
gateway_ip() { echo "$net.$((10 + $1))"; }

frontends() { local n list=; for n in $(seq "$1"); do list+=${list:+,}$(gateway_ip "$n"):18227; done; echo "$list"; }
readies() { local n list=; for n in $(seq "$1"); do list+=${list:+,}$(gateway_ip "$n"):18220; done; echo "$list"; }

# start_gateway N COUNT ZONE [SEED-LIST]: starts gateway N of COUNT.
start_gateway() {
    local ip zone=$3 seeds=
    ip=$(gateway_ip "$1")
    local n
    for n in $(seq "$2"); do
        [ "$n" -le 3 ] && seeds+=${seeds:+,}'"'$(gateway_ip "$n"):18229'"'
    done
    cat >"$work/gateway-$1.json" <<JSON
{"NodeName":"edge-$zone-$1","Role":"entry","MachineClass":"edge","Serves":["edge","control"],"Ip":"$ip","Zone":"$zone",
 "Region":"r","Zones":{"a":"r","b":"r"},
 "Listen":{"Frontend":"$ip:18227","Ready":"$ip:18220","ControlPlane":"$ip:18229"},"InternalPorts":[17340,17355],
 "SeedNodes":[$seeds],"Bootstrap":true,"FailureCounted":false,
 "Limits":{"CpuQuota":0.25,"CpuCores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0},"DataPath":null,
 "Discovery":"platform","Entrypoint":"vip","HeartbeatMs":1200,
 "Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","experts"],
 "FaultTolerance":{"MachineLosses":2,"Zones":1,"RegionLosses":0},
 "Bounds":{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,
 "LossSlackMs":200,"ConfigApplyMs":2000,"DowngradeSlackMs":250,"MaxStretchMs":5000,"StrictRevoke":false,
 "RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetryAllowance":90,"WarmupOvershoot":1.5,"WarmupSlack":5,
 "EvacuateMs":5000,"RecoverS":12,"ForwardMs":120,"RetryAfterS":0,"stall_ms":1500,"FencingEnforced":false},
 "Platform":{"Address":"${store_address:-$world_ip:18223}","form":"table","WritesPerS":400,"ReadsPerS":2000,"TxMs":3.0,
 "PartWritesPerS":300,"RowBytes":65536,"CrossPartition":true,"HistoryS":20,"BlobBytes":8388608,"BlobMs":25.0,
 "BlobMbPerS":80.0}}
JSON
    HORNBEAMLANE_CONFIG="$work/gateway-$1.json" "${gateway_command[@]}" >>"$work/gateway-$1.log" 2>&1 &
    gateway_pids[$1]=$!
}

# await_line FILE TEXT: waits for a line, at most 10 s.
await_line() {
    local i
    for i in $(seq 200); do
        grep -q "$2" "$1" 2>/dev/null && return 0
        sleep 0.05
    done
    return 1
}
