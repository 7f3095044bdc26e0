#!/usr/bin/env bash
# Plays a short soak with real processes, one scenario beside the other. The
# first argument is the build folder; logs of a failed run stay there.
set -euo pipefail
build=$1
seed=${2:-1}

pids=()
for scenario in cuts_and_crashes planned all; do
  "$build/soak" --binary "$build/teaselwalk" --scenario "$scenario" \
    --seed "$seed" --logs "$build/soak-logs" &
  pids+=($!)
done
failed=0
for pid in "${pids[@]}"; do
  wait "$pid" || failed=1
done
exit "$failed"
