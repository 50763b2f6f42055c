#!/usr/bin/env bash
# Runs the steps of the demo on a running fleet.
set -euo pipefail
egretpaddle () { node dist/bin/operator.js "$@"; }

echo '== a stream, and an order sent to two entry nodes'
node scripts/demo-requests.mjs
echo '== status'
egretpaddle --node 127.0.0.1:8013 --secret-file run/vrany.secret status
echo '== the cost split: one partner proposes, the other accepts at another entry node'
egretpaddle --node 127.0.0.1:8013 --secret-file run/vrany.secret split propose vrany=60 kandy-lotus=40
# Version 3 is the one with the proposal, as `split show` prints it.
egretpaddle --node 127.0.0.1:8023 --secret-file run/lotus.secret split accept --expected-version 3
egretpaddle --node 127.0.0.1:8013 --secret-file run/vrany.secret split show
echo '== a member killed during a stream'
node scripts/demo-kill.mjs
echo '== the demo has ended: all steps succeeded'
