#!/usr/bin/env bash
# Faults on real processes while callers download: one instance is killed, one is stopped and wakes late, the platform's
# list stays stale meanwhile, and a new instance joins. Fails unless nothing broke.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh build
source scripts/fleet.sh

for name in "${names[@]}"; do write_instance "$name"; done
live="fk-1 fk-2 fk-3 fk-4"
write_list "$live" ""
write_fabric ""
write_tree 1 serving
start_standins "${CALLS:-500}" 30
for name in $live; do start "$name"; done
for name in $live; do wait_ready "$name"; done
write_fabric "$live"
echo "four instances serve; callers arrive"
sleep 4
echo "killing fk-1; the list goes on naming it"
kill -KILL "${pids[fk-1]}"
unset "pids[fk-1]"
sleep 0.3
write_fabric "fk-2 fk-3 fk-4"
sleep 1
echo "stopping fk-2"
kill -STOP "${pids[fk-2]}"
sleep 0.3
write_fabric "fk-3 fk-4"
write_tree 2 draining
sleep 4
echo "fk-2 wakes and gets packets at once; fk-5 joins"
kill -CONT "${pids[fk-2]}"
write_fabric "fk-2 fk-3 fk-4"
write_list "fk-2 fk-3 fk-4 fk-5" ""
start fk-5
wait_ready fk-5
write_fabric "fk-2 fk-3 fk-4 fk-5"
finish_demo
