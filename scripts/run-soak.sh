#!/usr/bin/env bash
# Plays the fault soak: real instances as processes, faults drawn from seeds, promises checked from outside.
# Usage: scripts/run-soak.sh [--seed N] [--seeds N] [--minutes M] [--instances N] [--jobs N] [--drills] [--regressions]
#   --seed N        the first seed (default 1; "fresh" takes one from the clock)
#   --seeds N       how many seeds, one after the other (default 1)
#   --minutes M     the length of each run (default 0.5)
#   --instances N   processes in each run (default 6)
#   --jobs N        runs at a time (default 1)
#   --drills        also evacuates data centres and restores the store from a copy
#   --regressions   plays the seeds of test/soak/regression-seeds.txt instead
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 seeds=1 minutes=0.5 instances=6 jobs=1 drills= regressions=0
while [ $# -gt 0 ]; do
    case $1 in
        --seed) seed=$2; shift 2 ;;
        --seeds) seeds=$2; shift 2 ;;
        --minutes) minutes=$2; shift 2 ;;
        --instances) instances=$2; shift 2 ;;
        --jobs) jobs=$2; shift 2 ;;
        --drills) drills=--drills; shift ;;
        --regressions) regressions=1; shift ;;
        *) echo "run-soak.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
[ "$seed" != fresh ] || seed=$(date +%s)
folder=${BUILD:-build}
scripts/setup.sh "$folder"
logs=$(mktemp -d)
export logs folder seconds drills
seconds=$(awk -v minutes="$minutes" 'BEGIN { printf "%d", minutes * 60 }')

# Plays one seed: its output is kept; a failure prints it.
play() {
    local place="$logs/seed-$1-$2"
    mkdir -p "$place"
    if "$folder/test/soak/soak" --program "$folder/tools/jasminequay/jasminequay" --folder "$place" \
        --seed "$1" --instances "$2" --seconds "$seconds" $drills >"$place/run.txt" 2>&1; then
        tail -n 1 "$place/run.txt"
    else
        echo "FAILED seed=$1 instances=$2, logs in $place"
        cat "$place/run.txt"
        return 1
    fi
}
export -f play

if [ "$regressions" = 1 ]; then
    awk '!/^#/ && NF { print $1, $2 }' test/soak/regression-seeds.txt
else
    for ((number = seed; number < seed + seeds; ++number)); do echo "$number $instances"; done
fi | xargs -r -P "$jobs" -n 2 bash -c 'play "$@"' play || { echo "soak failed"; exit 1; }
rm -rf "$logs"
echo "soak passed"
