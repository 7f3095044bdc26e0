#!/usr/bin/env bash
# Runs clang-tidy over all sources of the build folder given as first argument.
# The second argument is the number of parallel jobs. A source that passed is
# not checked again until its preprocessed text, its command or the linter's
# settings change.
set -euo pipefail
build=$1
jobs=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/teaselwalk-lint
mkdir -p "$cache"

cmake -S . -B "$build" >/dev/null
python3 - "$build" <<'PY' >"$build/lint-commands"
import json, sys
for entry in json.load(open(sys.argv[1] + "/compile_commands.json")):
    print(entry["file"], entry["command"], sep="\t")
PY

check_file() {
  local build=$1 cache=$2 file=$3 command=$4 key text
  # The command without the compiler cache, its output and dependency files.
  command=$(sed -E 's#^[^ ]*ccache ##; s# -o [^ ]+##; s# -c # #; s# -M[DTF]( [^ ]+\.(o|d))?##g' <<<"$command")
  # Comments stay in the text because the linter reads suppressions in them.
  if ! text=$(eval "$command -E -P -C"); then
    echo "lint: cannot preprocess $file"
    return 1
  fi
  key=$({ echo "$text"; cat .clang-tidy; echo "$command" | sed "s#$PWD##g"; clang-tidy --version; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  # GCC's warning flags that clang-tidy does not know are harmless here.
  if clang-tidy -quiet -p "$build" --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null; then
    touch "$cache/$key"
  else
    return 1
  fi
}
export -f check_file

if ! tr '\t' '\0' <"$build/lint-commands" | tr '\n' '\0' |
  xargs -0 -n 2 -P "$jobs" bash -c 'check_file "$0" "$1" "$2" "$3"' "$build" "$cache"; then
  echo "lint: failed"
  exit 1
fi
echo "lint: clean"
