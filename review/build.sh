#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -c standin/standin.cpp -o build/standin.o
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra "$source" build/standin.o -o "build/case-${source%%/*}" -pthread
done
