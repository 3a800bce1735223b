#!/usr/bin/env bash
# Plays the regression sites on the users' bench: score and hunt, a verdict a line. Not for CI, which has no bench.
# Usage: BENCH=PATH-OF-FLEETBENCH SITES=FOLDER scripts/play-regressions.sh [--jobs N]
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?the path of fleetbench}" "${SITES:?the folder that holds the site files}"
jobs=4
[ "${1:-}" = "--jobs" ] && jobs=$2
failed=0
while read -r site days; do
    [ -n "$site" ] && [ "${site#\#}" = "$site" ] || continue
    log=$(mktemp)
    "$BENCH" score "$SITES/$site" --jobs "$jobs" --why "Regression site" >"$log" 2>&1 || true
    gate=$(grep -o 'GATE [a-z]*' "$log" | tail -n 1)
    score=$(grep -o 'score on the standard days of .*' "$log" | sed 's/.*): //; s/,.*//')
    "$BENCH" hunt "$SITES/$site" --days "$days" --jobs "$jobs" --why "Regression site" >"$log" 2>&1 || true
    broken=$(grep -oE '[0-9]+ days on [^,]*, [0-9]+ with a rule broken' "$log" | tail -n 1)
    echo "$site: score ${score:-none}, ${gate:-GATE unknown}; ${broken:-hunt did not end}"
    case "$gate/$broken" in "GATE passed/"*", 0 with a rule broken") ;; *) failed=1; echo "  log: $log" ;; esac
done <deploy/regressions.txt
exit "$failed"
