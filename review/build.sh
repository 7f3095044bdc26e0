#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I standin "$source" \
    -o "bin/case-$(dirname "$source")"
done
ls bin
