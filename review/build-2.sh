#!/usr/bin/env bash
# The stand-ins of cases 4 to 6 are plain JavaScript and are run as they are: this only checks that all of it parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js stand-ins-2/*.js [4-6]/*.js; do
  node --check "$file"
done
