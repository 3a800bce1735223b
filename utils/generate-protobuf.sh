#!/usr/bin/env bash
# Regenerates the protobuf code that is committed, so that the build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../lib/Peer"
protoc --cpp_out=. peer.proto
