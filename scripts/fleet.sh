# Functions for the demos: a fleet of instances as processes, with a platform list and a fabric list. Sourced, not run.
# shellcheck shell=bash
binary=build/tools/jasminequay/jasminequay
work=$(mktemp -d)
declare -A pids=()
cleanup() {
    for pid in "${pids[@]}" ${standins:-}; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

names=(fk-1 fk-2 fk-3 fk-4 fk-5 fk-6)
declare -A public secret
for name in "${names[@]}"; do
    "$binary" make-keys >"$work/$name.keys"
    public[$name]=$(sed -n "s/^public-key: //p" "$work/$name.keys")
    secret[$name]=$(sed -n "s/^secret-key: //p" "$work/$name.keys")
    data_key=$(sed -n "s/^data-key: //p" "$work/$name.keys")
done

port() { echo $((17000 + 10 * ${1#fk-} + $2)); }

write_instance() {
    local name=$1
    {
        echo "instance: $name"
        echo "data-centre: dk-east-1"
        echo "caller-side: 127.0.0.1:$(port "$name" 0)"
        echo "target-side: 127.0.0.1:$(port "$name" 1)"
        echo "peer-data: 127.0.0.1:$(port "$name" 2)"
        echo "peer-control: 127.0.0.1:$(port "$name" 3)"
        echo "operators: 127.0.0.1:$(port "$name" 4)"
        echo "caller-fabric: 127.0.0.1:17001"
        echo "target-fabric: 127.0.0.1:17002"
        echo "platform: 127.0.0.1:17003"
        echo "traffic-threads: 2"
        echo "public-key: ${public[$name]}"
        echo "secret-key: ${secret[$name]}"
        echo "data-key: $data_key"
        echo "log-file: $work/$name.log"
        echo "record-file: $work/$name.records"
        echo "peers:"
        for peer in "${names[@]}"; do
            [ "$peer" = "$name" ] || echo "  - {instance: $peer, public-key: ${public[$peer]}}"
        done
    } >"$work/$name.yaml"
}

list_version=0
write_list() { # write_list LIVE-NAMES LEAVING-NAMES
    list_version=$((list_version + 1))
    {
        echo "version: $list_version"
        echo "instances:"
        for name in $1 $2; do
            local state=live
            case " $2 " in *" $name "*) state=leaving ;; esac
            echo "  - {instance: $name, data-centre: dk-east-1, state: $state, peer-data: 127.0.0.1:$(port "$name" 2)," \
                "peer-control: 127.0.0.1:$(port "$name" 3)}"
        done
    } >"$work/instances.new"
    mv "$work/instances.new" "$work/instances.yaml"
}

write_fabric() { # write_fabric NAMES: the instances that get packets
    {
        echo "instances:"
        for name in $1; do
            echo "  - {caller-side: 127.0.0.1:$(port "$name" 0), target-side: 127.0.0.1:$(port "$name" 1)}"
        done
    } >"$work/fabric.new"
    mv "$work/fabric.new" "$work/fabric.yaml"
}

write_tree() { # write_tree VERSION STATE-OF-THE-DRAINED-TARGET
    sed -e "s/^version: .*/version: $1/" -e "s/{address: 10.2.0.1:8443}/{address: 10.2.0.1:8443, state: $2}/" \
        docs/examples/demo.yaml >"$work/tree.new"
    mv "$work/tree.new" "$work/tree.yaml"
}

start() {
    "$binary" serve --settings "$work/$1.yaml" &
    pids[$1]=$!
}

wait_ready() {
    for _ in $(seq 100); do
        curl -sf "http://127.0.0.1:$(port "$1" 4)/readyz" >/dev/null && return 0
        sleep 0.1
    done
    echo "$1 did not become ready" >&2
    exit 1
}

start_standins() { # start_standins CALLS MILLISECONDS-BETWEEN-CALLS
    build/test/standins/standins --caller-fabric 127.0.0.1:17001 --target-fabric 127.0.0.1:17002 \
        --platform 127.0.0.1:17003 --settings "$work/tree.yaml" --instances "$work/instances.yaml" \
        --fabric "$work/fabric.yaml" --calls "$1" --interval "$2" &
    standins=$!
}

# Waits for the callers, stops what runs, reports the traffic and exits with the callers' verdict.
finish_demo() {
    local status=0
    wait "$standins" || status=$?
    standins=
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}"; done
    for name in "${!pids[@]}"; do wait "${pids[$name]}" || true; done
    pids=()
    "$binary" report traffic "$work"/*.records
    if [ "$status" != 0 ]; then
        [ -z "${KEEP:-}" ] || cp -r "$work" "$KEEP"
        echo "demo: FAILED" >&2
    fi
    exit "$status"
}
