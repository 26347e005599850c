# Functions for the process tests: start stand-ins and nodes on free loopback ports, clean up.
# Sourced by each test; expects LABURNUMLEDGE_BINARY and LABURNUMLEDGE_STANDIN.
set -euo pipefail

work=$(mktemp -d)
pids=()
nodes=()

cleanup() {
  local status=$?
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    tail -n 40 "$work"/*.log || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT

# has PATTERN: whether standard input holds a pattern. Reads all of it: grep -q ends at the first
# match, and what writes the rest into the closed pipe then fails the pipeline.
has() {
  local text
  text=$(cat)
  grep -q -- "$1" <<< "$text"
}

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# Each running test holds a range of ports below those that the kernel gives to outgoing connections.
take_port_range() {
  local slots=${TMPDIR:-/tmp}/laburnumledge-ports slot
  mkdir -p "$slots"
  for ((slot = 0; slot < 80; ++slot)); do
    exec {port_lock}> "$slots/$slot"
    if flock -n "$port_lock"; then
      echo $((12000 + 250 * slot)) > "$work/next_port"
      return
    fi
    exec {port_lock}>&-
  done
  fail "no range of ports is free"
}
take_port_range

# free_ports COUNT: prints free loopback ports, one a line.
free_ports() {
  local ports
  ports=$("$LABURNUMLEDGE_STANDIN" free-ports "$(cat "$work/next_port")" "$1")
  echo "$(($(tail -n 1 <<< "$ports") + 1))" > "$work/next_port"
  echo "$ports"
}

# make_configuration ZONES RACKS WORKERS INSTANCES: writes $work/configuration.json.
# Zones are zone-1.., racks zone-1-rack-1.., workers zone-1-rack-1-worker-1.., of 8 accelerators.
make_configuration() {
  local zones=$1 racks=$2 workers=$3 instances=$4
  local ports index=0 zone rack worker
  mapfile -t ports < <(free_ports $((zones * racks * workers + instances)))
  {
    echo '{"inventory":{"zones":['
    for ((zone = 1; zone <= zones; ++zone)); do
      echo "$([ "$zone" -gt 1 ] && echo ,){\"name\":\"zone-$zone\",\"region\":\"region-1\"}"
    done
    echo '],"racks":['
    local comma=''
    for ((zone = 1; zone <= zones; ++zone)); do
      for ((rack = 1; rack <= racks; ++rack)); do
        echo "$comma{\"name\":\"zone-$zone-rack-$rack\",\"zone\":\"zone-$zone\"}"
        comma=,
      done
    done
    echo '],"workers":['
    comma=''
    for ((zone = 1; zone <= zones; ++zone)); do
      for ((rack = 1; rack <= racks; ++rack)); do
        for ((worker = 1; worker <= workers; ++worker)); do
          echo "$comma{\"name\":\"zone-$zone-rack-$rack-worker-$worker\",\"rack\":\"zone-$zone-rack-$rack\",\"address\":\"127.0.0.1:${ports[$index]}\",\"accelerators\":8,\"cores\":128,\"memory_mb\":262144}"
          echo "zone-$zone-rack-$rack-worker-$worker ${ports[$index]}" >> "$work/workers"
          index=$((index + 1))
          comma=,
        done
      done
    done
    echo '],"instances":['
    comma=''
    for ((instance = 1; instance <= instances; ++instance)); do
      echo "$comma{\"name\":\"booking-$instance\",\"service\":\"booking\",\"zone\":\"zone-$(((instance - 1) % zones + 1))\",\"address\":\"127.0.0.1:${ports[$index]}\"}"
      echo "booking-$instance ${ports[$index]}" >> "$work/instances"
      index=$((index + 1))
      comma=,
    done
    echo ']},"rules":{"organisations":[{"name":"stofn"},{"name":"lefka"}],'
    echo '"services":[{"name":"booking","classes":[{"name":"counter","weight":4,"interactive":true},{"name":"batch"}]}]}}'
  } > "$work/configuration.json"
}

# start_standin: starts the platform, the workers and the instances of $work/configuration.json.
start_standin() {
  platform=$(free_ports 1)
  "$LABURNUMLEDGE_STANDIN" "127.0.0.1:$platform" "$work/configuration.json" 2> "$work/standin.log" &
  standin_pid=$!
  pids+=("$standin_pid")
  wait_until 10 curl -sf -o /dev/null "http://127.0.0.1:$platform/v1/vms"
}

# make_nodes COUNT: writes settings of node-1.. and sets caller_port[i]. Intervals are short, unless
# settings_defaults is set.
make_nodes() {
  local count=$1 ports i seeds='' comma='' intervals
  intervals=",\"peer_timeout_ms\":2000,\"exchange_interval_ms\":200,\"lease_length_ms\":${lease_ms:-8000},
 \"shutdown_notice_ms\":300,\"shutdown_limit_ms\":10000"
  [ -z "${settings_defaults:-}" ] || intervals=''
  mapfile -t ports < <(free_ports $((2 * count)))
  caller_port=()
  for ((i = 1; i <= count; ++i)); do
    seeds="$seeds$comma{\"name\":\"node-$i\",\"peers\":\"127.0.0.1:${ports[$((2 * i - 1))]}\"}"
    comma=,
  done
  for ((i = 1; i <= count; ++i)); do
    caller_port[i]=${ports[$((2 * i - 2))]}
    cat > "$work/node-$i.json" <<S
{"name":"node-$i","region":"region-1","zone":"zone-$(((i - 1) % 2 + 1))",
 "callers":"127.0.0.1:${caller_port[i]}","peers":"127.0.0.1:${ports[$((2 * i - 1))]}",
 "platform":"127.0.0.1:$platform","seeds":[$seeds],"log_level":"debug"$intervals}
S
  done
}

# start_node I: starts node-I; its process identifier is node_pid[I].
start_node() {
  "$LABURNUMLEDGE_BINARY" serve "$work/node-$1.json" 2>> "$work/node-$1.log" &
  node_pid[$1]=$!
  pids+=("${node_pid[$1]}")
  wait_until 10 curl -sf -o /dev/null "http://127.0.0.1:${caller_port[$1]}/healthz"
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
  local tries=$(($1 * 10))
  shift
  until "$@"; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || fail "never succeeded: $*"
    sleep 0.1
  done
}

# call NODE METHOD PATH [CURL ARGUMENTS...]: calls a node and prints the body.
call() {
  local port=${caller_port[$1]} method=$2 path=$3
  shift 3
  curl -s -X "$method" "http://127.0.0.1:$port$path" "$@"
}

# has_holder NODE: whether the node knows who decides.
has_holder() {
  call "$1" GET /v1/status | has '"holder":"node-'
}

# publish NODE REPLACES: publishes $work/configuration.json.
publish() {
  call "$1" POST "/v1/configuration?replaces=$2" --data-binary "@$work/configuration.json"
}

# cluster ZONES WORKERS: starts stand-ins with one rack a zone, three nodes, publishes version 1.
cluster() {
  make_configuration "$1" 1 "$2" 6
  start_standin
  make_nodes 3
  for i in 1 2 3; do start_node "$i"; done
  wait_until 10 publishes 1 0
  for i in 1 2 3; do
    wait_until 15 has_holder "$i"
    wait_until 10 is_ready "$i"
  done
}

# publishes NODE REPLACES: whether a publication is accepted.
publishes() {
  publish "$1" "$2" | has '"version"'
}

# is_ready NODE: whether the node serves callers.
is_ready() {
  call "$1" GET /readyz | has '"ready":true'
}

# field NAME: prints a number or text of a JSON object on standard input.
field() {
  sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

# holder NODE: prints the number of the node that decides, as another one knows it.
holder() {
  call "$1" GET /v1/status | field holder | sed 's/node-//'
}

# submit NODE JOB TASKS COMMAND [MORE]: submits a gang of 8 accelerators a task.
submit() {
  call "$1" PUT "/v1/jobs/$2" -d "{\"organisation\":\"stofn\",\"tasks\":$3,\"accelerators\":8,
    \"cores\":16,\"memory_mb\":1024,\"command\":\"$4\",${5:-\"repeatable\":true}}"
}

# accepts NODE JOB TASKS COMMAND [MORE]: whether the job was accepted.
accepts() {
  submit "$@" | tee "$work/answer" | has "\"id\":\"$2\"" || { cat "$work/answer" >&2; false; }
}

# has_phase NODE JOB PHASE: whether a job is in a phase, as a node knows it.
has_phase() {
  call "$1" GET "/v1/jobs/$2" | has "\"phase\":\"$3\""
}

# audit JOB FIELD: prints what the workers know of all starts of a job.
audit() {
  curl -s "http://127.0.0.1:$platform/audit?job=$1" | field "$2"
}

# runs JOB TASKS: whether so many starts of tasks were seen.
runs() {
  [ "$(curl -s "http://127.0.0.1:$platform/audit?job=$1" | grep -o at_ms | wc -l)" -ge "$2" ]
}

# expect_whole JOB [ALONE_MS]: no task was started twice in an attempt, no two attempts ran at once,
# and no part ran on for long after another one was lost.
expect_whole() {
  [ "$(audit "$1" most_starts)" -le 1 ] || fail "a task of $1 was started twice in one attempt"
  [ "$(audit "$1" overlap)" = false ] || fail "two attempts of $1 ran at once"
  [ "$(audit "$1" alone_ms)" -le "${2:-5000}" ] || fail "parts of $1 ran on after a part was lost"
}

# expect_result NODE JOB RESULT: waits for the job's end and compares its result.
expect_result() {
  wait_until 20 has_phase "$1" "$2" finished
  call "$1" GET "/v1/jobs/$2" | has "\"result\":\"$3\"" ||
    fail "job $2 has another result: $(call "$1" GET "/v1/jobs/$2")"
}

# log_faults JSON: sets the faults of the platform's log.
log_faults() {
  curl -sf -o /dev/null "http://127.0.0.1:$platform/faults" -d "$1"
}

# worker_faults WORKER JSON: sets the faults of a worker.
worker_faults() {
  local port
  port=$(sed -n "s/^$1 //p" "$work/workers")
  curl -sf -o /dev/null "http://127.0.0.1:$port/faults" -d "$2"
}

# set_zone NODE ZONE OUT: takes a zone out or brings it back.
set_zone() {
  call "$1" POST "/v1/zones/$2?out=$3" | has '"version"'
}

# at_version NODE VERSION: whether a node has a configuration version in force.
at_version() {
  [ "$(call "$1" GET /v1/status | sed 's/.*"configuration_version":\([0-9]*\),"holder.*/\1/')" = "$2" ]
}
