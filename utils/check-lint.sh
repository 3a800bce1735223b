#!/usr/bin/env bash
# Fails if the linter has anything to say; it does not know all warnings of the compiler. Usage: utils/check-lint.sh BUILD-FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'lib/*.cpp' 'tools/*.cpp' 'test/*.cpp' 'unittests/*.cpp' 'benchmarks/*.cpp' |
    xargs -P "$(nproc)" -n 2 clang-tidy -p "$1" --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
