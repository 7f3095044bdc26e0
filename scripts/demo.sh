#!/usr/bin/env bash
# Runs a small cluster on loopback and shows what becomes of its requests:
# stand-ins for the store, the VM list and the endpoints of three data centres,
# and one entry process in each data centre. Callers of two deployments submit
# calls and jobs while one entry process is killed and replaced.
#
# Usage: demo.sh BINARY
#
# The last line counts from what callers were told and from the endpoints' run
# logs. Exits with 1 if a request was lost, ran twice or ran although it was
# answered "not run".
set -euo pipefail

binary=$(realpath "$1")
data_centres=(brno-a brno-b znojmo)
endpoints_each=4
call_deadline_ms=4000
poll_seconds=0.25
start_polls=240 # 60 s for the entry processes to become ready.
job_polls=480   # 120 s for a job to end.

run=$(mktemp -d)
mkdir "$run/requests" "$run/answers"
pids=()
declare -A entry_pid entry_port

say() { printf 'demo: %s\n' "$*"; }

# Ends the processes of this script, each by its own pid, and waits for them.
cleanup() {
  local code=$? pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  if [ "$code" -eq 0 ]; then
    rm -rf "$run"
  else
    say "failed; the logs and answers are in $run"
  fi
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# poll TRIES COMMAND...: repeats the command until it succeeds.
poll() {
  local tries=$1
  shift
  while ! "$@"; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      return 1
    fi
    sleep "$poll_seconds"
  done
}

# start NAME ARGUMENTS...: starts a process of the binary; its pid is in `$!`.
start() {
  local name=$1
  shift
  "$binary" "$@" >"$run/$name.log" 2>&1 &
  pids+=("$!")
}

# --- The platform and the endpoints ------------------------------------------

start_platform() {
  local name
  start store fake store --port-file "$run/store.port"
  start vms fake vms --port-file "$run/vms.port"
  for name in "${data_centres[@]}"; do
    start "endpoints-$name" fake endpoints --count "$endpoints_each" --racks 2 \
      --prefix "$name" --data-centre "$name" --port-file "$run/$name.vms"
  done
  for name in store.port vms.port "${data_centres[@]/%/.vms}"; do
    poll "$start_polls" test -s "$run/$name"
  done
  store="127.0.0.1:$(cat "$run/store.port")"
  vm_list="127.0.0.1:$(cat "$run/vms.port")"
}

# Publishes the VM list: all endpoints and the entry processes that run.
publish_vms() {
  local name rows
  rows=$(for name in "${data_centres[@]}"; do cat "$run/$name.vms"; done | jq -s add)
  for name in "${!entry_pid[@]}"; do
    rows=$(jq --arg name "$name" --argjson port "$(jq .peer "$run/$name.ports")" \
      '. + [{name: $name, address: "127.0.0.1", port: $port,
             data_centre: ($name | sub("-entry-.*"; "")), rack: "entry",
             role: "entry", state: "live"}]' <<<"$rows")
  done
  curl -sf -X PUT -d "$rows" "http://$vm_list/vms" >/dev/null
}

# --- The configuration -------------------------------------------------------

# secret_row ID: the stored form of a new secret `ID.SECRET`, whose text is
# written to a file.
secret_row() {
  local secret salt hash
  secret=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
  salt=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
  hash=$(printf '%s%s' "$salt" "$secret" | sha256sum | cut -d' ' -f1)
  printf '%s.%s' "$1" "$secret" >"$run/$1.key"
  jq -n --arg id "$1" --arg salt "$salt" --arg hash "$hash" '{$id, $salt, $hash}'
}

write_document() {
  # The second key of the first team is withdrawn before the work begins.
  jq -n \
    --argjson withdrawn "$(secret_row withdrawn)" \
    --argjson taboriste "$(secret_row taboriste-1)" \
    --argjson kadrownia "$(secret_row kadrownia-1)" \
    --argjson operator "$(secret_row operator)" \
    '{cpu_millis: 1000000, memory_mb: 2000000, accelerators: 0, tasks: 400} as $limit
     | {data_centres: [("brno-a", "brno-b", "znojmo")
          | {name: ., region: "cz-south", state: "in", shards: 1, cut_off_service_s: 0}],
        teams: [{name: "taboriste", share: 2, limit: $limit, keys: [$taboriste, $withdrawn]},
                {name: "kadrownia", share: 1, limit: $limit, keys: [$kadrownia]}],
        queues: [
          {name: "allocation-calls", access: "keyed", teams: ["taboriste"],
           class: "call", deadline_ms: 10000, overflow: ""},
          {name: "roster-calls", access: "keyed", teams: ["kadrownia"],
           class: "call", deadline_ms: 10000, overflow: ""},
          {name: "plans", access: "keyed", teams: ["taboriste", "kadrownia"],
           class: "batch", deadline_ms: 600000, overflow: ""},
          {name: "watchers", access: "keyed", teams: ["kadrownia"],
           class: "service", deadline_ms: 600000, overflow: ""}],
        operators: [$operator | {name: .id, salt, hash}]}' >"$run/document.json"
}

# --- Entry processes ---------------------------------------------------------

# start_entry NAME: NAME is DATA_CENTRE-entry-NUMBER.
start_entry() {
  cat >"$run/$1.toml" <<EOF
[process]
name = "$1"
data_centre = "${1%-entry-*}"
ip = "127.0.0.1"
caller_port = 0
operator_port = 0
peer_port = 0

[platform]
store = "$store"
vm_list = "$vm_list"
EOF
  start "$1" serve --settings "$run/$1.toml" --port-file "$run/$1.ports"
  entry_pid[$1]=$!
  poll "$start_polls" test -s "$run/$1.ports"
  entry_port[$1]=$(jq .caller "$run/$1.ports")
}

is_ready() {
  curl -sf --max-time 2 "http://127.0.0.1:${entry_port[$1]}/readyz" >/dev/null
}

# --- Requests ----------------------------------------------------------------

# declare_request MARK KIND TASKS IDEMPOTENT KEY BODY: notes a request. MARK is
# its request id and the result that its tasks produce.
declare_request() {
  jq -n --arg mark "$1" --arg kind "$2" --argjson tasks "$3" \
    --argjson idempotent "$4" --arg key "$5" --argjson body "$6" \
    '{$mark, $kind, $tasks, $idempotent, $key, $body}' >"$run/requests/$1.json"
}

# declare_call MARK IDEMPOTENT KEY QUEUE RUN_MS
declare_call() {
  declare_request "$1" call 1 "$2" "$3" "$(jq -n --arg mark "$1" \
    --argjson idempotent "$2" --arg queue "$4" --argjson run_ms "$5" \
    --argjson deadline_ms "$call_deadline_ms" \
    '{$queue, cpu_millis: 500, memory_mb: 256, $idempotent, $deadline_ms,
      payload: ({$run_ms, result: $mark} | tojson)}')"
}

# declare_job MARK KIND TASKS KEY QUEUE CPU_MILLIS RUN_MS
declare_job() {
  declare_request "$1" "$2" "$3" true "$4" "$(jq -n --arg mark "$1" \
    --arg kind "$2" --argjson tasks "$3" --arg queue "$5" \
    --argjson cpu_millis "$6" --argjson run_ms "$7" \
    '{name: $mark, $kind, $queue, $tasks, $cpu_millis, memory_mb: 512,
      accelerators: 0, $run_ms, urgent: false, idempotent: true,
      payload: (if $run_ms > 0 then {$run_ms, result: $mark}
                else {result: $mark} end | tojson)}')"
}

# submit MARK ENTRY: sends the request and notes the answer. Status 0 stands for
# a connection that broke.
submit() {
  local request="$run/requests/$1.json" path=/v1/jobs number status
  if [ "$(jq -r .kind "$request")" = call ]; then
    path=/v1/calls
  fi
  number=$(find "$run/answers" -name "$1.*.json" | wc -l)
  status=$(jq .body "$request" | curl -s --max-time 30 -o "$run/answers/$1.body" \
    -w '%{http_code}' -H "X-Request-Id: $1" \
    -H "Authorization: Bearer $(cat "$run/$(jq -r .key "$request").key")" \
    --data-binary @- "http://127.0.0.1:${entry_port[$2]}$path") || status=000
  touch "$run/answers/$1.body"
  jq -n --argjson status "$((10#$status))" --rawfile text "$run/answers/$1.body" \
    '(try ($text | fromjson) catch {})
     | if $status == 0 then {} else . end
     | {status: $status, verdict: (.verdict // ""), result: (.result // ""),
        job: (.job // ""), endpoint: (.endpoint // ""), error: (.error // "")}' \
    >"$run/answers/$1.$number.json"
  rm "$run/answers/$1.body"
}

last_answer() {
  find "$run/answers" -name "$1.*.json" | sort -V | tail -n 1
}

# A request that can be repeated and has no certain answer yet.
needs_repeat() {
  jq -e .idempotent "$run/requests/$1.json" >/dev/null &&
    jq -e '.verdict != "ran" and .verdict != "not_run" and .status != 202' \
      "$(last_answer "$1")" >/dev/null
}

# is_ended MARK: asks the entry processes that run for the state of the job.
is_ended() {
  local job name state
  job=$(jq -r .job "$(last_answer "$1")")
  for name in "${!entry_pid[@]}"; do
    state=$(curl -s --max-time 5 \
      -H "Authorization: Bearer $(cat "$run/$(jq -r .key "$run/requests/$1.json").key")" \
      "http://127.0.0.1:${entry_port[$name]}/v1/jobs/$job" | jq -r '.state? // ""' 2>/dev/null) || state=
    case $state in
    finished | failed | cancelled) return 0 ;;
    esac
  done
  return 1
}

describe() {
  jq -r --arg mark "$1" --slurpfile request "$run/requests/$1.json" '
    "  \($request[0].kind) \($mark): " +
    if .status == 0 then "the connection broke, may have run"
    elif .status == 202 then "accepted as job \(.job)"
    elif .verdict == "ran" and .status == 200 then "ran on \(.endpoint)"
    elif .verdict == "" then "status \(.status), may have run"
    else "\(.verdict | gsub("_"; " ")) (status \(.status)): \(.error)" end' \
    "$(last_answer "$1")"
}

# submit_all ENTRY MARK...: submits at the same time; the pids are in `waiting`.
waiting=()
submit_all() {
  local entry=$1 mark
  shift
  for mark in "$@"; do
    submit "$mark" "$entry" &
    waiting+=("$!")
  done
}

wait_all() {
  local pid
  for pid in "${waiting[@]}"; do
    wait "$pid"
  done
  waiting=()
}

# Withdraws a key at one data centre and waits as long as the other data
# centres may take to follow (3 s).
withdraw_key() {
  jq '.teams[0].keys |= map(select(.id != "withdrawn"))' \
    "$run/document.json" >"$run/without-key.json"
  "$binary" apply \
    --server "127.0.0.1:$(jq .operator "$run/brno-a-entry-1.ports")" \
    --credential-file "$run/operator.key" --who operator \
    --why "key withdrawn" --confirm taboriste "$run/without-key.json" >"$run/withdraw.log"
  say "an operator has withdrawn a key: $(tail -n 1 "$run/withdraw.log")"
  sleep 3
}

# --- The demo ----------------------------------------------------------------

start_platform
write_document
"$binary" apply --bootstrap "$store" --who demo --why "first document" \
  "$run/document.json" >"$run/apply.log"
for name in "${data_centres[@]}"; do
  start_entry "$name-entry-1"
done
publish_vms
for name in "${data_centres[@]}"; do
  poll "$start_polls" is_ready "$name-entry-1"
done
say "3 data centres with $endpoints_each endpoints and one entry process each are ready"

withdraw_key
declare_job allocation-plan gang 6 taboriste-1 plans 2000 1500
declare_job roster-batch batch 40 kadrownia-1 plans 1000 1200
declare_job roster-watch service 2 kadrownia-1 watchers 500 0
declare_job too-large batch 1 taboriste-1 plans 900000 1000
declare_call refused-key true withdrawn allocation-calls 20
jobs=(allocation-plan roster-batch)
submit_all brno-a-entry-1 roster-batch
submit_all brno-b-entry-1 allocation-plan too-large
submit_all znojmo-entry-1 roster-watch refused-key
wait_all

calls=()
for number in $(seq 1 18); do
  calls+=("allocate-$number")
  declare_call "allocate-$number" "$([ "$number" -gt 2 ] && echo true || echo false)" \
    taboriste-1 allocation-calls 900
  calls+=("roster-$number")
  declare_call "roster-$number" "$([ "$number" -gt 2 ] && echo true || echo false)" \
    kadrownia-1 roster-calls 900
done
for index in "${!calls[@]}"; do
  name=${data_centres[$((index % 3))]}
  submit_all "$name-entry-1" "${calls[$index]}"
done

# Half-way through, when endpoints run calls of this entry process.
busy_endpoints() {
  local port
  for port in $(jq '.[].port' "$run/brno-a.vms"); do
    if curl -s "http://127.0.0.1:$port/ran" |
      jq -e 'any(.attempts[]; .ended == "running" and (.task | startswith("call/")))' >/dev/null; then
      return 0
    fi
  done
  return 1
}
poll 40 busy_endpoints || say "no call was running when the entry process was killed"
kill -KILL "${entry_pid[brno-a-entry-1]}"
wait "${entry_pid[brno-a-entry-1]}" 2>/dev/null || true
unset 'entry_pid[brno-a-entry-1]' 'entry_port[brno-a-entry-1]'
say "killed entry process brno-a-entry-1 while requests run; the platform replaces it"
start_entry brno-a-entry-2
publish_vms
wait_all

# A caller whose connection broke repeats an idempotent request under the same
# request id once its deadline has passed. Others it cannot repeat.
sleep "$((call_deadline_ms / 1000))"
for round in 1 2 3; do
  for file in "$run"/requests/*.json; do
    mark=$(basename "$file" .json)
    if needs_repeat "$mark"; then
      [ "$round" -gt 1 ] || say "repeating $mark, whose connection broke"
      submit_all brno-b-entry-1 "$mark"
    fi
  done
  wait_all
done
poll "$start_polls" is_ready brno-a-entry-2 || say "brno-a-entry-2 is not ready"
for mark in "${jobs[@]}"; do
  poll "$job_polls" is_ended "$mark" || say "job $mark has not ended"
done

for file in "$run"/requests/*.json; do
  describe "$(basename "$file" .json)"
done

for name in "${data_centres[@]}"; do
  for port in $(jq '.[].port' "$run/$name.vms"); do
    curl -sf "http://127.0.0.1:$port/ran"
  done
done | jq -s . >"$run/logs.json"
for file in "$run"/requests/*.json; do
  mark=$(basename "$file" .json)
  find "$run/answers" -name "$mark.*.json" | sort -V | xargs cat |
    jq -s --slurpfile request "$file" '$request[0] + {answers: .} | del(.key, .body)'
done | jq -s . >"$run/submissions.json"

code=0
"$binary" fake account "$run/submissions.json" "$run/logs.json" >"$run/account.log" || code=$?
sed 's/^/demo: /' "$run/account.log"
exit "$code"
