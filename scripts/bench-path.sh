#!/usr/bin/env bash
# Measures what an entry node adds to a call and to a chunk. The processes stay up for the whole run.
set -euo pipefail
cd "$(dirname "$0")/.."
export CONFIG_FILE=examples/demo/config-bench.json
export ENGINE_OPTIONS="--slots 1024 --token-interval-ms 25 --first-token-ms 50"
# The first wait lets groups form and credits arrive.
bash scripts/fleet.sh bash -c 'sleep 12; node dist/bin/bench.js path'
