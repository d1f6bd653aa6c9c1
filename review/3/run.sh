#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")"
exec node case.mjs
