#!/usr/bin/env bash
# Starts fleets of real nodes with their targets and a store stand-in on this
# machine, one size after another, and prints what measure/cmd/fleet measures of
# each as JSON lines. The programs are those of `go build -o .demo/bin/ ./cmd/...
# ./standin/cmd/... ./measure/cmd/fleet`, or of the directory in BIN, on
# addresses below NET.
#   [BIN=DIR] [NET=127.90] measure/fleet.sh SIZE...
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-.demo/bin}
net=${NET:-127.90}
store=$net.0.1:7000
dir=$(mktemp -d)
stop_all() {
  local pids
  pids=$(jobs -p)
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
  { wait; } 2>/dev/null || true
}
trap 'stop_all; rm -rf "$dir"' EXIT

# address I prints the loopback address of node I.
address() { echo "$net.$((1 + $1 / 200)).$((1 + $1 % 200))"; }

# zone I prints the zone of node I, of six in two regions.
zone() { echo "region-$(($1 % 2))/zone-$(($1 % 6))"; }

start_node() {
  "$bin/dragonflyusherd" --settings "$dir/$1.json" >>"$dir/out" 2>>"$dir/log" &
  node_pid[$1]=$!
}

write_settings() {
  local a z
  a=$(address "$1")
  z=$(zone "$1")
  cat >"$dir/$1.json" <<END
{"node": "vm-$1", "region": "${z%/*}", "zone": "${z#*/}",
 "listen": {"http": "$a:7100", "peer": "$a:7200"},
 "store": {"address": "$store"}, "log": {"level": "warn"}}
END
}

write_entry() {
  local at_most_once=false
  [ $(($1 % 4)) -eq 0 ] && at_most_once=true
  echo "{\"service\": \"service-$1\", \"owner\": \"measure\", \"non_idempotent\": $at_most_once}" >"$dir/entry-$1.json"
}

list_nodes() {
  for ((i = 0; i < $1; i++)); do
    echo "${node_pid[$i]} $(address "$i"):7100 $(zone "$i")"
  done >"$dir/nodes"
}

measure_size() {
  local n=$1 services=$((($1 + 7) / 8)) i
  declare -gA node_pid=()
  "$bin/storestandin" --listen "$store" >>"$dir/out" 2>>"$dir/log" &
  local store_pid=$!
  sleep 0.3
  for ((i = 0; i < services; i++)); do write_entry "$i"; done
  "$bin/dragonflyusher" --store "$store" apply --create "$dir"/entry-*.json >>"$dir/out"
  for ((i = 0; i < n; i++)); do
    write_settings "$i"
    start_node "$i"
    "$bin/targetstandin" --name "vm-$i" --service "service-$((i / 6 % services))" \
      --node "$(address "$i"):7100" --effects "$dir/effects-$i" >>"$dir/out" 2>>"$dir/log" &
  done
  list_nodes "$n"
  "$bin/fleet" rest --nodes "$dir/nodes" --store "$store" --store-pid "$store_pid"
  for ((i = 0; i < n; i += 6)); do
    kill -KILL "${node_pid[$i]}"
    wait "${node_pid[$i]}" 2>/dev/null || true
  done
  "$bin/fleet" return --nodes "$dir/nodes" --store "$store" --gone "$(zone 0)" --ready "$dir/ready" &
  local measuring=$!
  until [ -e "$dir/ready" ]; do sleep 0.1; done
  for ((i = 0; i < n; i += 6)); do start_node "$i"; done
  wait "$measuring"
  stop_all
  rm -f "$dir/ready" "$dir"/entry-* "$dir"/effects-*
}

for n in "$@"; do
  measure_size "$n"
done
