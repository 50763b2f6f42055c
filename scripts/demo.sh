#!/usr/bin/env bash
# Serves a stream and an order on stand-ins and two entry nodes, all separate processes.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/fleet.sh node scripts/demo-requests.mjs
