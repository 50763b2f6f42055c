#!/usr/bin/env bash
# Builds the gateway in target/: the bundle, its launcher and V8's code cache.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx esbuild platform/main.ts --bundle --minify-whitespace --minify-syntax --platform=node --target=node20 --format=cjs \
  --main-fields=module,main --outfile=target/gateway-bundle.cjs --log-level=warning
cp scripts/launch-gateway.cjs target/gateway.cjs
rm -f target/gateway-bundle.cache
# Without settings the gateway exits with status 2 as soon as it has been loaded, which is enough to fill the cache.
# The V8 options must equal those in deploy/system.toml: V8 rejects a code cache that was made with others.
EGRETPADDLE_SETTINGS='' node --max-old-space-size=160 target/gateway.cjs --write-code-cache 2> /dev/null || [ $? = 2 ]
[ -s target/gateway-bundle.cache ]
