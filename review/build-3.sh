#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Needs the packages of the deploy
# file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B build/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build/review-3 --target review_3
