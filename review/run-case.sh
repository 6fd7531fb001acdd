#!/usr/bin/env bash
# run-case.sh N: plays the case in review/N. Exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")"
root=$(cd .. && pwd)
program=build/case-$1
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' ../deploy/balancer.toml)
if [ ! -x "$program" ] || [ ! -x ../build/lemonroute ] || [ -z "$run" ]; then
  echo "the build of deploy/balancer.toml or review/build.sh is missing" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 2 110 "$program" "$1/record.txt" "$work" "$root" "$run"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
