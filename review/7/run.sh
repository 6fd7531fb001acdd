#!/bin/sh
# This case. 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: without the disruption.
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
export CASE ROOT
program=$ROOT/build-review-2/case-$(basename "$CASE")
if [ ! -x "$ROOT/build/lemonroute" ]; then
  echo "build/lemonroute is missing"
  exit 2
fi
if [ ! -x "$program" ]; then
  echo "review/build-2.sh has not been run"
  exit 2
fi
timeout -k 5 110 "$program"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
