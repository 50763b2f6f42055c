#!/usr/bin/env bash
# Builds what the scripts of this review start beside the gateway. The stand-ins are plain JavaScript without
# dependencies, so that there is nothing to compile: this checks that they can be parsed and that the gateway is built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common-[23]/*.mjs review/[6-9]/*.mjs review/10/*.mjs review/left-out-2/*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
[ -s target/gateway.cjs ] && [ -s target/gateway-bundle.cjs ] || { echo 'build the gateway first: bash scripts/build-gateway.sh' >&2; exit 1; }
