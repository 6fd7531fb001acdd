#!/bin/sh
# Builds the programs of the cases 6 to 10, after the build of the deploy file: one a case, from its case.cpp and
# stand-2/stand.h, into build-review-2. Nothing but a C++20 compiler is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in 6 7 8 9 10; do
  [ -e "review/$case/case.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "review/$case/case.cpp" -o "build-review-2/case-$case"
done
