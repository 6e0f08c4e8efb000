#!/usr/bin/env bash
# Starts N daemons over stand-ins, mostly idle, and measures what control costs each of them.
#
# Usage: measure/nodes.sh NODES [ENGINES [CHANGES_PER_SECOND]]
# ENGINES are declared in zones without nodes, so that they cost configuration and no polling, in
# scopes of SCOPE_SIZE engines.
set -u
cd "$(dirname "$0")/.."
. measure/lib.sh
nodes=${1:?usage: measure/nodes.sh NODES [ENGINES [CHANGES_PER_SECOND]]}
engines=${2:-0}
rate=${3:-0}
zones=8 scope_size=${SCOPE_SIZE:-1000}
settle=${SETTLE:-15} seconds=${SECONDS_MEASURED:-20}

open_run nodes
start_platform || exit 1
extra_settings='"log_level": "error",'
names=()
for n in $(seq "$nodes"); do names+=("node-$n:zone-$((n % zones))"); done
start_daemons "${names[@]}" || exit 1
targets=()
for n in $(seq "$nodes"); do targets+=("${pid_of[node-$n]}@${all_nodes[$((n - 1))]}"); done

# scope NUMBER FROM TO: declares engines FROM to TO in a scope of their own.
scope() {
  {
    echo "{\"scope\": \"scope-$1\", \"zones\": [{\"name\": \"far-$1\", \"region\": \"r\"}], \"backends\": ["
    for n in $(seq "$2" "$3"); do
      echo "{\"name\":\"engine-$n\",\"kind\":\"engine\",\"zone\":\"far-$1\",\"address\":\"127.0.0.1:9\",\"service\":\"model\"},"
    done
    echo "{\"name\":\"plain-$1\",\"kind\":\"plain\",\"zone\":\"far-$1\",\"address\":\"127.0.0.1:9\",\"service\":\"plain\"}]}"
  } >"$out/scope-$1.json"
  confirm "$out/scope-$1.json" >/dev/null || exit 1
}
scope 0 1 0
for from in $(seq 1 "$scope_size" "$engines"); do
  to=$((from + scope_size - 1))
  scope "$from" "$from" $((to < engines ? to : engines))
done
sleep "$settle"
if [ "$rate" != 0 ]; then
  changes=$(awk "BEGIN{print int($rate*($seconds+4))}")
  start churn $bin/trestlerack-standin churn --nodes "$joined" --key operator-key --changes "$changes" --per-second "$rate"
  sleep 2
fi
before=$($bin/trestlerack-standin call GET "$table" /counts)
$bin/trestlerack-standin footprint --seconds "$seconds" --label "engines $engines changes/s $rate" "${targets[@]}"
after=$($bin/trestlerack-standin call GET "$table" /counts)
echo "$before $after" | sed 's/[^0-9 ]/ /g' | awk -v s="$seconds" '{printf "table reads/s %.1f writes/s %.1f\n", ($3-$1)/s, ($4-$2)/s}'
[ "$rate" = 0 ] || { wait_for churn; cat "$out/churn.out" "$out/churn.log"; }
rm -rf "$out"
