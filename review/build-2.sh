#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain JavaScript modules that Node.js
# runs as they are; the project's own stand-ins are not used. This checks that
# each of them can be parsed.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand-ins-2.mjs review/6/case.mjs review/7/case.mjs \
  review/8/case.mjs review/9/case.mjs review/10/case.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
