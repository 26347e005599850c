#!/usr/bin/env bash
# Measures an idle node: three nodes with the example's 50 workers and 50 instances on loopback.
# Prints each node's processor time as a share of one core over SECONDS (30), and its memory.
set -euo pipefail
source "$(dirname "$0")/../process/library.sh"
seconds=${1:-30}
source_root=$(cd "$(dirname "$0")/../.." && pwd)

free_ports 100 > "$work/ports"
"$source_root/scripts/make-example" stofnhugbunadur "$work/ports" > "$work/configuration.json"
start_standin
mapfile -t ports < <(free_ports 6)
for i in 1 2 3; do
  caller_port[i]=${ports[i - 1]}
  cat > "$work/node-$i.json" <<SETTINGS
{"name": "entry-$i", "region": "reykjavik", "zone": "reykjavik-a",
 "callers": "127.0.0.1:${caller_port[i]}", "peers": "127.0.0.1:${ports[i + 2]}",
 "platform": "127.0.0.1:$platform",
 "seeds": [{"name": "entry-1", "peers": "127.0.0.1:${ports[3]}"},
           {"name": "entry-2", "peers": "127.0.0.1:${ports[4]}"},
           {"name": "entry-3", "peers": "127.0.0.1:${ports[5]}"}]}
SETTINGS
  start_node "$i"
done
publish 1 0 > /dev/null
sleep 10

# sample NODE: prints seconds of processor, resident bytes and bytes of control.
sample() {
  call "$1" GET /metrics | awk '
    $1 == "laburnumledge_process_cpu_seconds" { cpu = $2 }
    $1 == "laburnumledge_process_resident_bytes" { resident = $2 }
    $1 ~ /^laburnumledge_log_calls_total/ { calls += $2 }
    END { print cpu, resident, calls }'
}

for i in 1 2 3; do before[i]=$(sample "$i"); done
sleep "$seconds"
for i in 1 2 3; do
  echo "${before[i]} $(sample "$i")" | awk -v s="$seconds" -v node="entry-$i" '
    { printf "%s: %.2f%% of a core, %.0f MiB, %.1f log calls a second\n",
        node, 100 * ($4 - $1) / s, $5 / 1048576, ($6 - $3) / s }'
done
