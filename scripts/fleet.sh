#!/usr/bin/env bash
# Starts the stand-ins and two entry nodes as separate processes, runs the given command, and stops them.
# CONFIG_FILE is the path of the initial configuration; ENGINE_OPTIONS are added to each engine's command line.
set -euo pipefail
cd "$(dirname "$0")/.."
config_file=${CONFIG_FILE:-examples/demo/config.json}
read -r -a engine_options <<< "${ENGINE_OPTIONS:-}"
mkdir -p run
pids=()
stop_all () { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; }
trap stop_all EXIT

start () {
  local name=$1
  shift
  node "$@" > "run/$name.log" 2>&1 &
  pids+=("$!")
  echo "$!" > "run/$name.pid"
}

wait_for () {
  for _ in $(seq 1 150); do
    if curl -sf -o /dev/null "$1"; then return; fi
    sleep 0.2
  done
  echo "no response from $1; see the logs in run/" >&2
  exit 1
}

start kv dist/bin/standin-kv.js --port 7001
start vm-list dist/bin/standin-vm-list.js --port 7002 --vms examples/demo/vms.json
for number in 1 2 3 4 5 6; do
  start "engine-$number" dist/bin/standin-engine.js --port "710$number" --vm-id "engine-$number" "${engine_options[@]}"
done
for number in 1 2; do
  start "service-$number" dist/bin/standin-service.js --port "720$number"
done
wait_for http://127.0.0.1:7001/stats
node dist/bin/operator.js bootstrap "$config_file" --store http://127.0.0.1:7001
for number in 1 2; do
  start "entry-$number" dist/bin/entry.js --settings "examples/settings/demo-entry-$number.jsonc"
done
wait_for http://127.0.0.1:8010/readyz
wait_for http://127.0.0.1:8020/readyz

"$@"
