#!/usr/bin/env bash
# Runs all tests: the build, the test programs, both demos, a short fault soak and, with SANITIZERS=1, the sanitizer builds.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh build

# Runs the test programs of a build; failures that KNOWN-RED.txt lists are printed and passed over.
run_programs() {
    local folder=$1
    shift
    local log
    log=$(mktemp)
    ctest --test-dir "$folder" --output-on-failure -j 4 "$@" | tee "$log" && { rm -f "$log"; return 0; }
    local failed known=1
    failed=$(grep -oE '^\[  FAILED  \] [A-Za-z]+\.[A-Za-z]+' "$log" | awk '{print $4}' | sort -u)
    rm -f "$log"
    [ -n "$failed" ] || return 1
    for test in $failed; do
        if grep -q "^$test " KNOWN-RED.txt; then
            echo "known red, passed over: $(grep "^$test " KNOWN-RED.txt)"
        else
            echo "failed: $test"
            known=0
        fi
    done
    [ "$known" = 1 ]
}

run_programs build
scripts/run-demo.sh
scripts/run-fault-demo.sh
scripts/run-soak.sh --regressions --jobs 2
scripts/run-soak.sh --seed 1 --seeds 4 --jobs 2
scripts/run-soak.sh --seed 1 --seeds 2 --jobs 2 --drills
if [ "${SANITIZERS:-0}" = 1 ]; then
    scripts/setup.sh build-asan -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 -DJASMINEQUAY_SANITIZER=address,undefined \
        -DJASMINEQUAY_BUILD_BENCHMARKS=OFF
    run_programs build-asan
    # Only the programs with threads.
    BUILD_TARGETS="NodeTests FabricTests PlatformTests PeerTests UsersPlatformTests" scripts/setup.sh build-tsan \
        -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 -DJASMINEQUAY_SANITIZER=thread -DJASMINEQUAY_BUILD_BENCHMARKS=OFF
    TSAN_OPTIONS="suppressions=$PWD/utils/tsan-suppressions.txt" run_programs build-tsan -R 'Node|Fabric|Platform|Peer'
fi
echo "all tests passed"
