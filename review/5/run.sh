#!/usr/bin/env bash
# Runs the case waiting_gang; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review_standin ] && [ -x ../../target/papayacell ] || { echo "build first"; exit 2; }
exec ../../target/review_standin -case waiting_gang -root ../.. -record record.txt
