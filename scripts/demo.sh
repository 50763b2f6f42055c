#!/usr/bin/env bash
# Runs the demo: starts stand-ins and two entry nodes as separate processes, sends a stream request and an order, changes
# the cost split, and kills a member of a group during a stream.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p run
printf 'demo-vrany-operator' > run/vrany.secret
printf 'demo-lotus-operator' > run/lotus.secret
bash scripts/fleet.sh bash scripts/demo-steps.sh
