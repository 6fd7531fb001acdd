#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/build. The program itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -g -Wall -Wextra -Istage)
g++ "${flags[@]}" -c stage/stage.cpp -o build/stage.o
for source in [0-9]*/case.cpp; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" build/stage.o -pthread -o "build/case-${source%%/*}"
done
