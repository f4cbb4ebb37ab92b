#!/usr/bin/env bash
# The stand-ins are plain ES modules, so nothing is compiled: this checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [0-9]/*.js; do
  node --check "$file"
done
