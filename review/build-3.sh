#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They need the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -o target/review-3/rig review/standin-3/rig.cpp
