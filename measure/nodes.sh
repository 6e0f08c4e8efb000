#!/usr/bin/env bash
# Starts N daemons over stand-ins, mostly idle, and measures what control costs each of them.
#
# Usage: measure/nodes.sh NODES [ENGINES [CHANGES_PER_SECOND]]
# ENGINES are declared in a zone without nodes, so that they cost configuration and no polling.
set -u
cd "$(dirname "$0")/.."
nodes=${1:?usage: measure/nodes.sh NODES [ENGINES [CHANGES_PER_SECOND]]}
engines=${2:-0}
rate=${3:-0}
zones=8
settle=${SETTLE:-15} seconds=${SECONDS_MEASURED:-20}

cargo build --locked --release --workspace --quiet || exit 1
bin=target/release
out=$(mktemp -d "${TMPDIR:-/tmp}/trestlerack-nodes.XXXXXX")
pids=()
stop_all() {
  trap - EXIT INT TERM
  for pid in "${pids[@]:-}"; do kill -9 "$pid" 2>/dev/null; done
  rm -rf "$out"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$@" >/dev/null 2>"$out/$name.log" &
  last_pid=$!
  disown "$last_pid"
  pids+=("$last_pid")
}
address() {
  for _ in $(seq 400); do
    [ -s "$out/$1.address" ] && { cat "$out/$1.address"; return; }
    sleep 0.05
  done
  echo "$1 did not start" >&2
  exit 1
}
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" <<<"$(address "$1")"; }

echo operator-key >"$out/operator.key"
echo link-key >"$out/link.key"
echo '{"user-key": "user"}' >"$out/callers.json"
for kind in table objects members; do
  start $kind $bin/trestlerack-standin $kind --address-file "$out/$kind.address"
done
table=$(address table) objects=$(address objects) members=$(address members)
daemons=()
for n in $(seq "$nodes"); do
  cat >"$out/node-$n.json" <<JSON
{"name": "node-$n", "zone": "zone-$((n % zones))", "listen": "127.0.0.1:0", "link_listen": "127.0.0.1:0",
 "table": "$table", "objects": "$objects", "membership": "$members", "log_level": "error",
 "caller_keys_file": "$out/callers.json", "operator_key_file": "$out/operator.key",
 "link_key_file": "$out/link.key", "address_file": "$out/node-$n.address"}
JSON
  start node-$n $bin/trestlerackd --settings "$out/node-$n.json"
  daemons+=("$last_pid")
done
list='' addresses=() targets=()
for n in $(seq "$nodes"); do
  list+="${list:+,}{\"name\":\"node-$n\",\"zone\":\"zone-$((n % zones))\",\"link\":\"$(field node-$n link)\"}"
  addresses+=("$(field node-$n listen)")
  targets+=("${daemons[$((n - 1))]}@${addresses[-1]}")
done
$bin/trestlerack-standin call PUT "$members" /members "{\"nodes\":[$list]}" >/dev/null || exit 1

{
  echo '{"scope": "base", "zones": [{"name": "far", "region": "r"}], "backends": ['
  for n in $(seq "$engines"); do
    echo "{\"name\":\"engine-$n\",\"kind\":\"engine\",\"zone\":\"far\",\"address\":\"127.0.0.1:9\",\"service\":\"model\"},"
  done
  echo '{"name":"plain-1","kind":"plain","zone":"far","address":"127.0.0.1:9","service":"plain"}]}'
} >"$out/base.json"
tool() { $bin/trestlerack --node "${addresses[0]}" --key-file "$out/operator.key" "$@"; }
tool plan "$out/base.json" --out "$out/base.plan" >/dev/null && tool confirm "$out/base.json" --plan "$out/base.plan" >/dev/null || exit 1
sleep "$settle"
joined=$(IFS=,; echo "${addresses[*]}")
label="engines $engines changes/s $rate"
if [ "$rate" != 0 ]; then
  changes=$(awk "BEGIN{print int($rate*($seconds+4))}")
  $bin/trestlerack-standin churn --nodes "$joined" --key operator-key --changes "$changes" --per-second "$rate" &
  churn=$!
  sleep 2
fi
before=$($bin/trestlerack-standin call GET "$table" /counts)
$bin/trestlerack-standin footprint --seconds "$seconds" --label "$label" "${targets[@]}"
after=$($bin/trestlerack-standin call GET "$table" /counts)
echo "$before $after" | sed 's/[^0-9 ]/ /g' | awk -v s="$seconds" '{printf "table reads/s %.1f writes/s %.1f\n", ($3-$1)/s, ($4-$2)/s}'
[ "$rate" = 0 ] || wait "$churn"
