#!/usr/bin/env bash
# Benchmarks the latency that an entry node adds to a request and to each streamed chunk, on one fleet for the whole run.
set -euo pipefail
cd "$(dirname "$0")/.."
export CONFIG_FILE=examples/demo/config-bench.json
export ENGINE_OPTIONS="--slots 1024 --token-interval-ms 25 --first-token-ms 50"
# The sleep gives groups time to form and credits time to arrive.
bash scripts/fleet.sh bash -c 'sleep 12; node dist/bin/bench.js path'
