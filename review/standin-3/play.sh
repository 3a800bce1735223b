# shellcheck shell=bash
# Sourced by the run.sh of a case: plays a scenario of the rig against three instances of one zone, started with
# the command of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#
# play MODE CASE_FOLDER TROUBLE RECORD    without the disruption if TROUBLE is 0
play() {
    local mode=$1 folder=$2 trouble=$3 record=$4
    local root
    root=$(cd "$folder/../.." && pwd)
    local work base keepers=() number status net=1
    # The instances reach each other through the rig where it loses datagrams between them.
    [ "$mode" = route ] && net=3
    work=$(mktemp -d)
    base=$((20000 + RANDOM % 20000))
    cd "$root"
    if [ ! -x target/tools/jasminequay/jasminequay ] || [ ! -x target/review-3/rig ]; then
        echo "build the deploy file and review/build-3.sh first" >&2
        exit 2
    fi
    # Runs an instance, and starts it again after a short delay when it has ended.
    keep() {
        trap - EXIT
        while [ -d "$work" ] && [ ! -e "$work/stop" ]; do
            JASMINEQUAY_CONFIG="$work/$1.yaml" target/tools/jasminequay/jasminequay steer \
                >>"$work/$1.log" 2>&1 &
            echo $! >"$work/$1.pid"
            wait $!
            rm -f "$work/$1.pid"
            sed -i "/^first-start/d" "$work/$1.yaml"
            sleep 0.3
        done
    }
    kill_instances() {
        for number in 1 2 3; do
            [ -e "$work/$number.pid" ] && kill -KILL "$(cat "$work/$number.pid")" 2>/dev/null
            rm -f "$work/$number.pid"
        done
    }
    stop_all() {
        touch "$work/stop"
        kill_instances
        sleep 0.5
        for number in "${keepers[@]}"; do kill -KILL "$number" 2>/dev/null; done
        kill_instances # one may have been started in between
        rm -rf "$work"
    }
    trap stop_all EXIT
    # As the template of the deploy file is filled for a small deployment; addresses are on loopback.
    for number in 1 2 3; do
        cat >"$work/$number.yaml" <<SETTINGS
instance: "edge-dk-east-a-$number"
data-centre: "dk-east-a"
packets: "127.0.1.$number:$((base + 2))"
readiness: "127.0.1.$number:$((base + 3))"
control: "127.0.$net.$number:$((base + 4))"
bind-address: "127.0.1.$number"
store: "127.0.5.1:$((base + 1))"
peer-port: $((base + 5))
seeds:
  - "127.0.$net.1:$((base + 4))"
  - "127.0.$net.2:$((base + 4))"
  - "127.0.$net.3:$((base + 4))"
features:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "recover"
  - "flows"
  - "platform"
first-start: true
settings-bound: "3000ms"
grace-period: "6s"
flow-lifetime: "60s"
store-reads-per-second: "2000"
SETTINGS
        keep "$number" 2>/dev/null &
        keepers+=($!)
        disown $!
    done
    target/review-3/rig "$mode" "$trouble" "$base" 3 "$record" "$work"
    status=$?
    [ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"/
    exit "$status"
}
