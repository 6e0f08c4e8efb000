#!/usr/bin/env bash
# Runs one trainer at Kitamura's size (10 engines in 4 zones, 9 nodes) under a policy, a load and a
# fault, and prints a row: idle time, staleness, goodput and waste.
#
# Usage: measure/policies.sh ROWS_FILE POLICY LOAD_PERCENT FAULT
#   POLICY  design | baseline | random | hedge | no-admission | blocking-swap
#   FAULT   none | engine-crash | node-kill | zone-loss | store-outage
#
# Stated load: steps of 16 groups of 8 samples; lengths heavy-tailed up to 96 tokens, drawn from the
# sample's seed; 10 ms a token, 4 slots an engine, one engine three times slower than the others;
# weights load in 300 ms and switch in 30 ms; staleness bound 3 versions, two steps submitted ahead. The brief
# gives no step length: it follows from the load, with 1.02 s to make a step at full capacity.
set -u
cd "$(dirname "$0")/.."
. measure/lib.sh
rows=${1:?usage: measure/policies.sh ROWS_FILE POLICY LOAD_PERCENT FAULT}
policy=$2 load=$3 fault=$4
make_ms=1020 steps=${STEPS:-12}
train_ms=$((make_ms * 100 / load))
serving=50
extra_settings="\"log_level\": \"${LOG:-warn}\","' "heartbeat_ms": 200, "suspicion_ms": 1000, "poll_ms": 1000, "lease_ttl_ms": 2000, "order_timeout_ms": 1500,'
case $policy in
  design) ;;
  baseline)
    extra_settings+='"policy_choice": "random", "policy_hedging": false, "policy_admission": false, "policy_staged_swap": false,'
    serving=0
    ;;
  random) extra_settings+='"policy_choice": "random",' ;;
  hedge) extra_settings+='"policy_hedging": true,' ;;
  no-admission) extra_settings+='"policy_admission": false,' ;;
  blocking-swap)
    extra_settings+='"policy_staged_swap": false,'
    serving=0
    ;;
  *) echo "unknown policy $policy" >&2; exit 2 ;;
esac

open_run policies
start_platform || exit 1
zones=(obihiro kushiro nayoro tomakomai)
standin score-1 scoring
standin score-2 scoring
declared=''
for n in $(seq 10); do
  token_ms=10
  [ "$n" = 10 ] && token_ms=30
  standin engine-$n engine --name engine-$n --model rinse-advice --slots 4 --token-ms $token_ms --load-ms 300 \
    --swap-ms 30 --tail --checks-fencing --weights "$weights" --log "$out/engine-$n.jsonl"
done
names=()
for n in $(seq 9); do names+=("node-$n:${zones[$((n % 4))]}"); done
start_daemons "${names[@]}" || exit 1
for n in $(seq 10); do
  declared+="$(backend engine-$n engine "${zones[$((n % 4))]}" rinse-advice '"checks_fencing":true'),"
done
cat >"$out/declaration.json" <<JSON
{
  "scope": "kitamura",
  "zones": [$(for z in "${zones[@]}"; do printf '%s{"name":"%s","region":"hokkaido"}' "${sep:-}" "$z"; sep=,; done)],
  "users": [{"name": "kitamura", "places": ["obihiro", "kushiro", "nayoro", "tomakomai"]}],
  "backends": [$declared $(backend score-1 scoring obihiro score), $(backend score-2 scoring kushiro score)],
  "campaigns": [{
    "name": "rl", "user": "kitamura", "model": "rinse-advice", "scoring": "score", "serving_percent": $serving,
    "places": ["obihiro", "kushiro", "nayoro", "tomakomai"], "max_staleness_versions": 3, "max_tokens": 96
  }]
}
JSON
confirm "$out/declaration.json" >/dev/null || exit 1
sleep 3
start trainer $bin/trestlerack-standin trainer --campaign rl --model rinse-advice --nodes "$joined" --key kitamura-key \
  --weights "$weights" --steps "$steps" --groups 16 --size 8 --lookahead "${LOOKAHEAD:-2}" --train-ms "$train_ms" \
  --zones obihiro,kushiro,nayoro,tomakomai --staleness 3 --out "$out/trainer.json" --samples "$out/samples.jsonl"
if [ "$fault" != none ]; then sleep 5; fi
case $fault in
  none) ;;
  engine-crash) kill -9 "${pid_of[engine-1]}" ;;
  node-kill) kill -9 "${pid_of[node-1]}" ;;
  zone-loss) # every node and engine of kushiro, and its scoring service
    kill -9 "${pid_of[node-1]}" "${pid_of[node-5]}" "${pid_of[node-9]}" "${pid_of[engine-1]}" "${pid_of[engine-5]}" \
      "${pid_of[engine-9]}" "${pid_of[score-2]}"
    ;;
  store-outage) # 6 s stand for the minutes of a real outage; the ratio to a step is what counts
    call POST "$table" /faults '{"mode":"down","for_ms":6000}'
    call POST "$objects" /faults '{"mode":"down","for_ms":6000}'
    ;;
  *) echo "unknown fault $fault" >&2; exit 2 ;;
esac
patience=120 wait_for trainer || echo "the trainer did not end; see $out" >&2
$bin/trestlerack-standin summary --policy "$policy" --load "$load" --fault "$fault" --train-ms "$train_ms" \
  --make-ms "$make_ms" --append "$rows" --trainer "$out/trainer.json" --samples "$out/samples.jsonl" --steps "$steps" \
  "$out"/engine-*.jsonl || { echo "no row; see $out" >&2; exit 1; }
[ -n "${KEEP:-}" ] && echo "kept $out" || rm -rf "$out"
