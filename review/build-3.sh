#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start: the project's
# own store and workers, compiled to dist/. Needs no network after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p tsconfig.json
