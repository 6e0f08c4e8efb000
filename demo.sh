#!/usr/bin/env bash
# Builds trestlerack, runs it with stand-ins for every outside system on free loopback ports, trains
# two campaigns for a few steps while one daemon and one engine are killed, and prints what the
# trainers found. Exits non-zero if a promise broke.
#
# Usage: ./demo.sh [--break mislabel|double-write]   break a promise on purpose; the demo must fail
set -u
cd "$(dirname "$0")"

break_with=none
if [ "${1:-}" = --break ]; then
  break_with=${2:-}
  case $break_with in mislabel | double-write) ;; *) echo "unknown way to break: $break_with" >&2; exit 2 ;; esac
elif [ $# -gt 0 ]; then
  echo "usage: ./demo.sh [--break mislabel|double-write]" >&2
  exit 2
fi

cargo build --locked --release --workspace --quiet || exit 1
bin=target/release
out=$(mktemp -d "${TMPDIR:-/tmp}/trestlerack-demo.XXXXXX")
pids=()

stop_all() {
  trap - EXIT INT TERM
  for pid in "${pids[@]:-}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]:-}"; do wait "$pid" 2>/dev/null; done
}
trap 'code=$?; stop_all; exit $code' EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: runs in the background; its pid is in $last_pid.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  last_pid=$!
  disown "$last_pid" 2>/dev/null
  pids+=("$last_pid")
}

# address NAME: waits for the address that a process wrote.
address() {
  local file=$out/$1.address
  for _ in $(seq 200); do
    [ -s "$file" ] && { cat "$file"; return; }
    sleep 0.05
  done
  echo "$1 did not start; see $out/$1.log" >&2
  exit 1
}

standin() {
  local name=$1 kind=$2
  shift 2
  start "$name" $bin/trestlerack-standin "$kind" --address-file "$out/$name.address" "$@"
}

call() { $bin/trestlerack-standin call "$@" >/dev/null; }

echo operator-key >"$out/operator.key"
echo link-key >"$out/link.key"
echo '{"kitamura-key": "kitamura", "hallworth-key": "hallworth"}' >"$out/callers.json"

standin table table
standin objects objects
standin members members --lag-ms 300
standin weights weights --per-second 40
standin rinse-score-1 scoring
standin rinse-score-2 scoring
standin draft-score-1 scoring
standin draft-score-2 scoring
standin records-1 plain
standin records-2 plain
weights=$(address weights) || exit 1

engine() { # NAME MODEL [OPTION]
  standin "$1" engine --name "$1" --model "$2" --slots 4 --token-ms 1.5 --swap-ms 60 --tail \
    --weights "$weights" --log "$out/engine-$1.jsonl" ${3:-}
  pid_of[$1]=$last_pid
}
declare -A pid_of zone_of
for n in 1 2 3 4 5; do engine rinse-$n rinse-advice --checks-fencing; done
for n in 1 2 3 4 5; do engine draft-$n pension-drafts; done

nodes=(obihiro-1:obihiro obihiro-2:obihiro kushiro-1:kushiro kushiro-2:kushiro tomakomai-1:tomakomai
  leeds-a-1:leeds-a leeds-a-2:leeds-a leeds-b-1:leeds-b leeds-c-1:leeds-c)
table=$(address table) objects=$(address objects) members=$(address members)
for entry in "${nodes[@]}"; do
  name=${entry%%:*} zone=${entry##*:}
  zone_of[$name]=$zone
  cat >"$out/$name.json" <<JSON
{
  // Settings of one node of the demo.
  "name": "$name", "zone": "$zone",
  "listen": "127.0.0.1:0", "link_listen": "127.0.0.1:0",
  "table": "$table", "objects": "$objects", "membership": "$members",
  "caller_keys_file": "$out/callers.json", "operator_key_file": "$out/operator.key", "link_key_file": "$out/link.key",
  "address_file": "$out/$name.address",
  "heartbeat_ms": 200, "suspicion_ms": 1000, "poll_ms": 1000, "lease_ttl_ms": 2000, "order_timeout_ms": 1500
}
JSON
  start "$name" $bin/trestlerackd --settings "$out/$name.json"
  pid_of[$name]=$last_pid
done

field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" <<<"$(address "$1")"; }
list='' all_nodes=()
for entry in "${nodes[@]}"; do
  name=${entry%%:*}
  list+="${list:+,}{\"name\":\"$name\",\"zone\":\"${zone_of[$name]}\",\"link\":\"$(field "$name" link)\"}"
  all_nodes+=("$(field "$name" listen)")
done
call PUT "$members" /members "{\"nodes\":[$list]}" || exit 1

backend() { echo "{\"name\":\"$1\",\"kind\":\"$2\",\"zone\":\"$3\",\"service\":\"$4\",\"address\":\"$(address "$1")\"${5:+,$5}}"; }
cat >"$out/kitamura.json" <<JSON
{
  "scope": "kitamura",
  "zones": [
    {"name": "obihiro", "region": "hokkaido"}, {"name": "kushiro", "region": "hokkaido"},
    {"name": "tomakomai", "region": "hokkaido"}
  ],
  "users": [{"name": "kitamura", "places": ["obihiro", "kushiro"]}],
  "backends": [
    $(backend rinse-1 engine obihiro rinse-advice '"checks_fencing":true'),
    $(backend rinse-2 engine obihiro rinse-advice '"checks_fencing":true'),
    $(backend rinse-3 engine kushiro rinse-advice '"checks_fencing":true'),
    $(backend rinse-4 engine kushiro rinse-advice '"checks_fencing":true'),
    // In a place that the campaign does not allow.
    $(backend rinse-5 engine tomakomai rinse-advice '"checks_fencing":true'),
    $(backend rinse-score-1 scoring obihiro rinse-score),
    $(backend rinse-score-2 scoring kushiro rinse-score),
    $(backend records-1 plain obihiro wash-records),
    $(backend records-2 plain kushiro wash-records)
  ],
  "campaigns": [{
    "name": "rinse-advice-rl", "user": "kitamura", "model": "rinse-advice", "scoring": "rinse-score",
    "places": ["obihiro", "kushiro"], "max_staleness_versions": 2, "max_tokens": 96
  }]
}
JSON
cat >"$out/hallworth.json" <<JSON
{
  "scope": "hallworth",
  "zones": [
    {"name": "leeds-a", "region": "leeds"}, {"name": "leeds-b", "region": "leeds"}, {"name": "leeds-c", "region": "leeds"}
  ],
  "users": [{"name": "hallworth", "places": ["leeds-a", "leeds-b"]}],
  "backends": [
    $(backend draft-1 engine leeds-a pension-drafts),
    $(backend draft-2 engine leeds-a pension-drafts),
    $(backend draft-3 engine leeds-b pension-drafts),
    $(backend draft-4 engine leeds-b pension-drafts),
    $(backend draft-5 engine leeds-c pension-drafts),
    $(backend draft-score-1 scoring leeds-a draft-score),
    $(backend draft-score-2 scoring leeds-b draft-score)
  ],
  "campaigns": [{
    "name": "pension-drafts-rl", "user": "hallworth", "model": "pension-drafts", "scoring": "draft-score",
    "places": ["leeds-a", "leeds-b"], "max_staleness_versions": 1, "max_tokens": 96
  }]
}
JSON

tool() { $bin/trestlerack --node "${all_nodes[0]}" --key-file "$out/operator.key" "$@"; }
for scope in kitamura hallworth; do
  tool plan "$out/$scope.json" --out "$out/$scope.plan" || exit 1
  tool confirm "$out/$scope.json" --plan "$out/$scope.plan" || exit 1
done
sleep 2

joined=$(IFS=,; echo "${all_nodes[*]}")
train() { # CAMPAIGN MODEL KEY ZONES STALENESS
  start "trainer-$1" $bin/trestlerack-standin trainer --campaign "$1" --model "$2" --nodes "$joined" --key "$3" \
    --weights "$weights" --steps 8 --groups 8 --size 4 --train-ms 700 --zones "$4" --staleness "$5" \
    --out "$out/trainer-$1.json" --samples "$out/samples-$1.jsonl"
  trainers+=("$last_pid")
}
trainers=()
train rinse-advice-rl rinse-advice kitamura-key obihiro,kushiro 2
train pension-drafts-rl pension-drafts hallworth-key leeds-a,leeds-b 1
start application $bin/trestlerack-standin application --nodes "$joined" --key kitamura-key --service wash-records \
  --backends "$(address records-1),$(address records-2)" --model rinse-advice --rounds 40 \
  --out "$out/application-kitamura.json"
trainers+=("$last_pid")

case $break_with in
  mislabel) call POST "$(address draft-3)" /faults '{"mode":"mislabel"}' ;;
  double-write) call POST "$table" /faults '{"mode":"double-write"}' ;;
esac

sleep 2.5
echo "killing node kushiro-1 and engine rinse-2"
kill -9 "${pid_of[kushiro-1]}" "${pid_of[rinse-2]}"

# Not children any more to bash after disown, so wait by looking.
for _ in $(seq 1200); do
  left=0
  for pid in "${trainers[@]}"; do kill -0 "$pid" 2>/dev/null && left=1; done
  [ $left -eq 0 ] && break
  sleep 0.1
done
[ $left -eq 0 ] || { echo "the trainers did not end; see $out" >&2; exit 1; }

tool show nodes
tool trace rinse-advice-rl/3/g0/0
$bin/trestlerack-standin report "$out"/trainer-*.json "$out"/samples-*.jsonl "$out"/engine-*.jsonl "$out"/application-*.json
code=$?
[ $code -eq 0 ] && rm -rf "$out" || echo "logs are kept in $out"
exit $code
