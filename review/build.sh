#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript for Node.js 20 without any package, and take nothing of the
# project's own stand-ins, so that there is nothing to compile: each file is only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs left-out/*/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
