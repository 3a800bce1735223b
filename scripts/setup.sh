#!/usr/bin/env bash
# Installs what the build needs and builds. Usage: [BUILD_TARGETS="NAME..."] scripts/setup.sh BUILD-FOLDER [CMAKE-OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
packages=(g++ cmake ninja-build pkg-config libboost1.81-dev libzmq3-dev cppzmq-dev libprotobuf-dev prometheus-cpp-dev
    libyaml-cpp-dev libcxxopts-dev libgoogle-glog-dev librapidcheck-dev libxxhash-dev libsodium-dev zlib1g-dev libgtest-dev
    libbenchmark-dev clang-format clang-tidy curl python3)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -q -y --no-install-recommends "${missing[@]}"
fi
# A second configuration would find packages in another order and rebuild half of everything.
[ -f "$folder/build.ninja" ] || cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
# Word splitting is wanted: each target is an argument.
# shellcheck disable=SC2086
cmake --build "$folder" ${BUILD_TARGETS:+--target $BUILD_TARGETS}
