#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/10 start, into target/review-2/. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O2 -pthread -o target/review-2/standin review/standin-2/standin.cpp
