#!/usr/bin/env bash
# Measures what two nodes add to a call, against direct calls in the same run:
# first with pauses of 4 ms, then without. Prints JSON lines and the CPU time
# that the entry node and the target's node spent on the calls without pauses.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o .demo/bin/ ./cmd/... ./standin/cmd/...
dir=$(mktemp -d .demo/latency-XXXXXX)
trap 'deploy/stop "$dir"' EXIT
deploy/start demo "$dir"
.demo/bin/dragonflyusher --store 127.10.0.1:7000 apply --create deploy/demo/catalogue/*.json >/dev/null
node=127.10.1.2:7100
call=(.demo/bin/callerstandin --service lager --concurrency 8 --uri "/work?ms=0")
"${call[@]}" --node "$node" --calls 1000 --wait-ms 10000 >/dev/null
sleep 5
target=$(grep -ho '127\.0\.0\.1:[0-9]*' "$dir/target-lager-1.out")
# ticks prints the CPU time of a process in clock ticks of 10 ms.
ticks() {
  local pid
  pid=$(awk -v name="$1" '$2 == name {print $1}' "$dir/pids")
  awk '{print $14 + $15}' "/proc/$pid/stat"
}
for round in 1 2; do
  echo "round $round, pauses of 4 ms: nodes, direct"
  "${call[@]}" --node "$node" --calls 6000 --pause-us 4000
  "${call[@]}" --node "$target" --direct --calls 6000 --pause-us 4000
  echo "round $round, no pauses: nodes, direct"
  entry=$(ticks kasse-1)
  gate=$(ticks lager-1)
  "${call[@]}" --node "$node" --calls 40000
  echo "CPU of 40000 calls: entry node $((($(ticks kasse-1) - entry) * 10)) ms, target's node $((($(ticks lager-1) - gate) * 10)) ms"
  "${call[@]}" --node "$target" --direct --calls 40000
done
