#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The record goes to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/review-standins held-items review/1
