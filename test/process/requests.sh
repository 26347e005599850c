# Functions for the tests of requests: a cluster with instances, load, faults, history checks.
source "$(dirname "${BASH_SOURCE[0]}")/library.sh"

runs=0
load_tool=$(dirname "$LABURNUMLEDGE_STANDIN")/measure_load

# start_cluster NODES INSTANCES: starts stand-ins and nodes, and waits until all are ready.
start_cluster() {
  make_configuration 2 1 1 "$2"
  start_standin
  make_nodes "$1"
  for ((i = 1; i <= $1; ++i)); do start_node "$i"; done
  publish 1 0 | grep -q '"version":1' || fail "the configuration was not accepted"
  for ((i = 1; i <= $1; ++i)); do wait_ready "$i"; done
}

# wait_ready NODE: waits until a node is ready.
wait_ready() {
  wait_until 15 sh -c "curl -s http://127.0.0.1:${caller_port[$1]}/readyz | grep -q true"
}

# entries: addresses of the nodes, for the load tool.
entries() {
  local text=''
  for port in "${caller_port[@]}"; do text="$text,127.0.0.1:$port"; done
  echo "${text:1}"
}

# instances: addresses of the instances.
instances() {
  awk '{ printf "%s127.0.0.1:%s", separator, $2; separator = "," }' "$work/instances"
}

# start_load SECONDS STREAMS [ARGUMENTS...]: runs the load tool behind; its report goes to
# $work/report.json.
start_load() {
  local seconds=$1 streams=$2
  shift 2
  runs=$((runs + 1))
  "$load_tool" --entries "$(entries)" --instances "$(instances)" --seconds "$seconds" \
    --streams "$streams" --prefix "run$runs-" "$@" > "$work/report.json" &
  load_pid=$!
  pids+=("$load_pid")
}

# finish_load: waits for the load tool; fails if the history does not hold.
finish_load() {
  wait "$load_pid" || { cat "$work/report.json"; fail "the callers' history does not hold"; }
}

# value PATH: a value of the report, such as /streams/0/sent.
value() {
  sed -n "s|^ \"$1\": \([^,]*\),\{0,1\}\$|\1|p" "$work/report.json"
}

# report FIELD STREAM: a number of a stream.
report() {
  value "/streams/$2/$1"
}

# instance_report FIELD: a number of the instances.
instance_report() {
  value "/instances/$1"
}

# fault INSTANCE JSON: sets faults of an instance by its number.
fault() {
  local port
  port=$(awk -v n="$1" 'NR == n { print $2 }' "$work/instances")
  curl -s -o /dev/null -X POST "http://127.0.0.1:$port/faults" -d "$2"
}

# expect_equal WHAT SEEN EXPECTED
expect_equal() {
  [ "$2" = "$3" ] || { cat "$work/report.json"; fail "$1: $2, not $3"; }
}
