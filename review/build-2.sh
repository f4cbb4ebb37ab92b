#!/bin/sh
# Builds the stand-ins of the second review's cases. They are plain JavaScript and are run as they are, so there is
# nothing to compile: this checks that each of them parses.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.js [4-9]/*.js; do
  node --check "$file"
done
