#!/usr/bin/env bash
# Measures one entry process on loopback against the stand-ins: CPU time and
# resident memory from /proc of its process id, and TCP payload bytes of its
# connections to the endpoints, the store and the VM list.
# Usage: measure.sh BUILD_DIR [SECONDS] [ENDPOINTS...]
# Prints `name value unit` lines. Ports are chosen by the system. Every process
# that it starts is ended by its process id.
set -euo pipefail
build=$1
seconds=${2:-10}
shift $(($# < 2 ? $# : 2))
sizes=("${@:-6}")
[ $# -gt 0 ] || sizes=(6 18 54)
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=()

stopAll() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stopAll; rm -rf "$work"' EXIT
trap 'exit 143' TERM INT

waitFor() { # FILE
  for _ in $(seq 100); do [ -s "$1" ] && return 0; sleep 0.1; done
  echo "measure: $1 did not appear" >&2
  exit 1
}

cpuTicks() { # PID: user and system time in clock ticks
  awk '{print $14 + $15}' "/proc/$1/stat"
}

# PID: sum of payload bytes sent and received on open connections. A connection
# that was closed since the start of the process is not counted.
tcpBytes() {
  ss -tinpH 2>/dev/null | awk -v want="pid=$1," '
    /^[^ \t]/ { mine = index($0, want) > 0 }
    /^[ \t]/ && mine {
      for (i = 1; i <= NF; ++i)
        if ($i ~ /^bytes_(sent|received):/) { split($i, p, ":"); sum += p[2] }
    }
    END { printf "%d\n", sum }'
}

sample() { # NAME PID SECONDS
  local cpu bytes hz
  hz=$(getconf CLK_TCK)
  cpu=$(cpuTicks "$2")
  bytes=$(tcpBytes "$2")
  sleep "$3"
  cpu=$(($(cpuTicks "$2") - cpu))
  bytes=$(($(tcpBytes "$2") - bytes))
  awk -v n="$1" -v c="$cpu" -v b="$bytes" -v s="$3" -v hz="$hz" 'BEGIN {
    printf "%s_cpu %.2f %%_of_core\n", n, 100 * c / hz / s
    printf "%s_bytes %.0f bytes/s\n", n, b / s }'
  awk -v n="$1" '/^VmRSS/ { printf "%s_rss %.1f MB\n", n, $2 / 1024 }' "/proc/$2/status"
}

measureSize() { # ENDPOINTS
  local dir="$work/$1" server store vms caller key
  mkdir "$dir"
  "$build/teaselwalk" fake store --port-file="$dir/store" >"$dir/store.log" 2>&1 &
  pids+=($!)
  "$build/teaselwalk" fake vms --port-file="$dir/vms" >"$dir/vms.log" 2>&1 &
  pids+=($!)
  "$build/teaselwalk" fake endpoints --count="$1" --racks=$((($1 + 7) / 8)) \
    --data-centre=brno-a --port-file="$dir/endpoints" >"$dir/endpoints.log" 2>&1 &
  pids+=($!)
  waitFor "$dir/store"; waitFor "$dir/vms"; waitFor "$dir/endpoints"
  store=127.0.0.1:$(cat "$dir/store")
  vms=127.0.0.1:$(cat "$dir/vms")
  curl -sf -X PUT --data-binary "@$dir/endpoints" "http://$vms/vms" >/dev/null
  "$build/teaselwalk" apply --bootstrap "$store" --who olga --why measure \
    "$root/examples/taboriste/document.json" >"$dir/apply.log"
  cat >"$dir/entry.toml" <<EOF
[process]
name = "measured"
data_centre = "brno-a"
ip = "127.0.0.1"
caller_port = 0
operator_port = 0
peer_port = 0
[platform]
store = "$store"
vm_list = "$vms"
peers = []
endpoint_mode = "epoch"
[log]
level = "warn"
file = ""
EOF
  "$build/teaselwalk" serve --settings "$dir/entry.toml" --port-file "$dir/ports" \
    >"$dir/serve.log" 2>&1 &
  server=$!
  pids+=("$server")
  waitFor "$dir/ports"
  caller=127.0.0.1:$(jq .caller "$dir/ports")
  for _ in $(seq 300); do
    curl -sf "http://$caller/readyz" >/dev/null && break
    sleep 0.1
  done
  sleep 2
  sample "idle_$1" "$server" "$seconds"
  # Published on purpose in examples/keys.md.
  key=tab-pitches-1.$(sed -n 's/.*`tab-pitches-1\.\([0-9a-f]*\)`.*/\1/p' "$root/examples/keys.md")
  # Below the allowance of the team, so that the calls find room.
  submitServices "$caller" "$key" $(($1 * 2 < 50 ? $1 * 2 : 50))
  sleep 3
  curl -s "http://$caller/v1/status" |
    jq -r --arg n "services_$1" '"\($n)_running \([.shards[].active] | add) tasks"'
  sample "services_$1" "$server" "$seconds"
  callLoad "$caller" "$key" $((seconds * 10)) >"$dir/calls" &
  local load=$!
  sample "calls_$1" "$server" "$seconds"
  wait "$load"
  echo "calls_$1_answered $(grep -c '^200$' "$dir/calls" || true) calls"
  stopAll
}

submitServices() { # CALLER KEY TASKS
  local left=$3 part
  while [ "$left" -gt 0 ]; do
    part=$((left > 10 ? 10 : left))
    curl -s -o /dev/null -H "Authorization: Bearer $2" --data-binary \
      "{\"name\":\"m\",\"kind\":\"service\",\"queue\":\"watchers\",\"tasks\":$part,\"cpu_millis\":500,\"memory_mb\":256,\"urgent\":false,\"idempotent\":true,\"payload\":\"m\"}" \
      "http://$1/v1/jobs"
    left=$((left - part))
  done
}

# About ten calls a second, one after the other.
callLoad() { # CALLER KEY COUNT
  for _ in $(seq "$3"); do
    curl -s -o /dev/null -w '%{http_code}\n' --max-time 2 -H "Authorization: Bearer $2" \
      --data-binary '{"queue":"calls","cpu_millis":500,"memory_mb":256,"idempotent":true,"deadline_ms":1000,"payload":"{\"run_ms\":20,\"result\":\"ok\"}"}' \
      "http://$1/v1/calls"
    sleep 0.07
  done
}

for size in "${sizes[@]}"; do measureSize "$size"; done
