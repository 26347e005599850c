#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 with the packages of scripts/packages.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=build/review-2
mkdir -p "$folder"
"${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread review/stand-in-2/*.cpp -o "$folder/cases.new"
mv "$folder/cases.new" "$folder/cases"
