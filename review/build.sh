#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies, so there is nothing to
# compile: they are only checked. All cases use those in review/1/shared.
set -eu
cd "$(dirname "$0")"
for file in [1-5]/*.mjs 1/shared/*.mjs; do node --check "$file"; done
