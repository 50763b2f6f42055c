#!/usr/bin/env bash
# The stand-ins of this review are plain programs for Node.js without packages: there is nothing to compile, so that they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs; do node --check "$file"; done
