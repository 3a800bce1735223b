#!/usr/bin/env bash
# The demo: three instances behind a fabric that sprays every packet, two services, hundreds of callers with long
# downloads. While they run every instance is replaced and a target drains. Fails unless nothing broke.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh build
source scripts/fleet.sh

for name in "${names[@]}"; do write_instance "$name"; done
write_list "fk-1 fk-2 fk-3" ""
write_fabric ""
write_tree 1 serving
start_standins "${CALLS:-600}" 30
for name in fk-1 fk-2 fk-3; do start "$name"; done
for name in fk-1 fk-2 fk-3; do wait_ready "$name"; done
write_fabric "fk-1 fk-2 fk-3"
echo "three instances serve; callers arrive"
sleep 5

live="fk-1 fk-2 fk-3"
for number in 1 2 3; do
    old=fk-$number
    new=fk-$((number + 3))
    echo "replacing $old by $new"
    write_list "$live $new" ""
    start "$new"
    wait_ready "$new"
    live="${live/$old/$new}"
    # The list and the fabric follow late, as they do in life.
    write_fabric "$live $old"
    write_list "$live" "$old"
    kill -TERM "${pids[$old]}"
    sleep 0.5
    write_fabric "$live"
    if [ "$number" = 2 ]; then
        echo "draining target 10.2.0.1:8443"
        write_tree 2 draining
    fi
    wait "${pids[$old]}" || { echo "$old ended with an error" >&2; exit 1; }
    unset "pids[$old]"
    write_list "$live" ""
done
echo "all instances are replaced; the downloads go on"
finish_demo
