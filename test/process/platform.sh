# Functions for the process tests of nodes on the platform. Sourced after library.sh.

# start_platform WORKERS RUN_MS [LINKS]: starts the store and workers, and puts a configuration in force.
# The list shows ports LINKS above those of the workers, which are left to links.
start_platform() {
  local ports
  mapfile -t ports < <(free_ports $(($1 + 1 + ${3:-0})))
  store=${ports[0]}
  for ((i = 0; i <= $1; ++i)); do
    [ "${ports[i]}" -eq $((store + i)) ] || fail "no row of free ports"
  done
  "$LABURNUMLEDGE_STANDIN" platform "127.0.0.1:$store" "$1" "$2" "${3:-0}" 2> "$work/platform.log" &
  pids+=("$!")
  wait_until 10 curl -sf -o /dev/null "http://127.0.0.1:$store/-/log-newest?topic=keyed.op"
  put keyed.op config '{"version":3,"routes":[
    {"name":"survey","host":"a.example","path_prefix":"/survey/","service":"grinding",
     "target_latency_ms":250,"priority":0,"max_attempts":3,"stretch":3.0}],
    "services":[{"name":"grinding"}],"limits":{},
    "tenants":[{"name":"crew","api_keys":["secret"],"guaranteed":{"gpus":8}}]}'
}

# put TOPIC KEY VALUE: writes as operators do.
put() {
  curl -sf -X POST "http://127.0.0.1:$store/standin/put?topic=$1&key=$2" --data-binary "$3" > /dev/null
}

# fault KIND MS: lets the store misbehave for a while.
fault() {
  curl -sf -X POST "http://127.0.0.1:$store/standin/fault?kind=$1&for_ms=$2" > /dev/null
}

# write_platform_settings I STORE_PORT CALLER_PORT READY_PORT PEER_PORT: settings of node I, with
# "acceptance" where the test sets the variable acceptance.
write_platform_settings() {
  caller_port[$1]=$3
  ready_port[$1]=$4
  peer_port[$1]=$5
  cat > "$work/node-$1.json" <<S
{"node_name":"node-$1",${acceptance:+"\"acceptance\":\"$acceptance\","}"zone":"zone-a","ip":"127.0.0.1","internal_ports":[$5,$5],
 "listen":{"front":"127.0.0.1:$3","ready":"127.0.0.1:$4"},
 "limits":{"max_fds":4100},"bounds":{"max_hold_ms":6000,"stop_grace_ms":400,"grace_s":6,
 "status_s":120,"gang_wait_ms":3000,"remote_penalty":3},"heartbeat_ms":500,
 "platform":{"address":"127.0.0.1:$2","max_record_bytes":262144,"max_call_bytes":2097152}}
S
}

# start_platform_nodes COUNT: starts nodes 1.. with ports of their own.
start_platform_nodes() {
  local ports i
  mapfile -t ports < <(free_ports $((3 * $1)))
  for ((i = 1; i <= $1; ++i)); do
    write_platform_settings "$i" "$store" "${ports[@]:3 * i - 3:3}"
    start_platform_node "$i"
  done
  for ((i = 1; i <= $1; ++i)); do
    wait_until 10 curl -sf -o /dev/null "http://127.0.0.1:${ready_port[i]}/-/ready"
  done
}

# start_platform_node I: starts node I; its process identifier is node_pid[I].
start_platform_node() {
  "$LABURNUMLEDGE_BINARY" node "$work/node-$1.json" >> "$work/node-$1.log" 2>&1 &
  node_pid[$1]=$!
  pids+=("${node_pid[$1]}")
}

# note_submission ID BODY: tells the workers what a client is about to submit, for their checks.
note_submission() {
  put standin.submitted "$1" "{\"route\":\"survey\",\"job\":$2}"
}

# job METHOD NODE ID [BODY]: calls a node for a job and prints status and body.
job() {
  [ -z "${4:-}" ] || note_submission "$3" "$4"
  curl -s -m 5 -w '%{http_code} ' -X "$1" -H 'Host: a.example' -H 'Authorization: Bearer secret' \
    ${4:+-d "$4"} "http://127.0.0.1:${caller_port[$2]}/survey/$3" || true
}

# id N: a job's identifier.
id() {
  printf '%016x' "$1"
}

# is_completed NODE ID: whether a node shows a job as completed.
is_completed() {
  job GET "$1" "$2" | has '"completed"'
}

# holder: number of the node that decides; empty if none is known to.
holder() {
  local i
  for i in "${!node_pid[@]}"; do
    if kill -0 "${node_pid[i]}" 2>/dev/null &&
      curl -s -m 1 "http://127.0.0.1:${peer_port[i]}/metrics" | has '^laburnumledge_holds_term 1'; then
      echo "$i"
      return
    fi
  done
}

# has_a_holder: whether some node decides.
has_a_holder() {
  [ -n "$(holder)" ]
}

# nothing_broken: whether the workers have seen no rule broken.
nothing_broken() {
  curl -sf "http://127.0.0.1:$((store + 1))/standin/runs" | has '"broken":\[\]'
}
