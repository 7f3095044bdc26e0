#!/usr/bin/env bash
# Runs clang-tidy over all sources of the build folder given as first argument.
# The second argument is the number of parallel jobs.
set -euo pipefail
build=$1
jobs=$2
# GCC's warning flags that clang-tidy does not know are harmless here.
find src -name '*.cpp' -print0 |
  xargs -0 -n 1 -P "$jobs" clang-tidy -quiet -p "$build" --extra-arg=-Wno-unknown-warning-option 2>/tmp/clang-tidy.$$ || {
    grep -v 'warnings generated' /tmp/clang-tidy.$$ || true
    echo "lint: failed"
    exit 1
  }
rm -f /tmp/clang-tidy.$$
echo "lint: clean"
