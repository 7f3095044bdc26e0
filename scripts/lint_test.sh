#!/usr/bin/env bash
# Guards against a changed source that the linter skips because its cache key
# does not depend on the text. Lints a project of one source in a temporary
# folder: clean, unchanged, with a fault in a header, with the fault suppressed
# by a comment, and with that comment removed.
set -euo pipefail
lint=$(realpath "$(dirname "$0")/lint.sh")
run=$(mktemp -d)
trap 'rm -rf "$run"' EXIT
export XDG_CACHE_HOME="$run/cache"
mkdir "$run/project"
cd "$run/project"
cat >CMakeLists.txt <<'EOF'
cmake_minimum_required(VERSION 3.20)
project(sample LANGUAGES CXX)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
add_library(sample sample.cpp)
target_compile_options(sample PRIVATE -Wall)
EOF
cat >.clang-tidy <<'EOF'
Checks: '-*,readability-braces-around-statements'
WarningsAsErrors: '*'
HeaderFilterRegex: '.*'
EOF
printf '#include "sample.hpp"\nint sample(int A) { return sign(A); }\n' >sample.cpp

# write_header BODY: writes a header with a function of that body.
write_header() {
  printf '#pragma once\ninline int sign(int A) {\n  %s\n  return 1;\n}\n' "$1" >sample.hpp
}

# expect clean|failed WHAT
expect() {
  local found=clean
  bash "$lint" build 1 >"$run/output" 2>&1 || found=failed
  if [ "$found" != "$1" ]; then
    echo "lint_test: $2: expected $1, got $found"
    cat "$run/output"
    exit 1
  fi
}

write_header 'if (A < 0) { return -1; }'
expect clean "a source without faults"
expect clean "the same source again"
write_header 'if (A < 0) return -1;'
expect failed "a fault in a header of a source that passed"
write_header 'if (A < 0) return -1; // NOLINT'
expect clean "the fault with a suppression"
write_header 'if (A < 0) return -1;'
expect failed "the fault without the suppression again"
echo "lint_test: passed"
