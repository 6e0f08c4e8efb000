#!/usr/bin/env bash
# Builds trestlerack, runs it with stand-ins for every outside system on free loopback ports, trains
# two campaigns for a few steps while one daemon and one engine are killed, and prints what the
# trainers found. Exits non-zero if a promise broke.
#
# Usage: ./demo.sh [--break mislabel|double-write]   break a promise on purpose; the demo must fail
set -u
cd "$(dirname "$0")"
. measure/lib.sh

break_with=none
if [ "${1:-}" = --break ]; then
  break_with=${2:-}
  case $break_with in mislabel | double-write) ;; *) echo "unknown way to break: $break_with" >&2; exit 2 ;; esac
elif [ $# -gt 0 ]; then
  echo "usage: ./demo.sh [--break mislabel|double-write]" >&2
  exit 2
fi

open_run demo
mkdir "$out/traces"
start_platform || exit 1
for n in 1 2; do
  standin rinse-score-$n scoring
  standin draft-score-$n scoring
  standin records-$n plain
done

engine() { # NAME MODEL [OPTION]
  standin "$1" engine --name "$1" --model "$2" --slots 4 --token-ms 1.5 --load-ms 50 --swap-ms 10 --tail \
    --weights "$weights" --log "$out/engine-$1.jsonl" ${3:-}
}
for n in 1 2 3 4 5; do engine rinse-$n rinse-advice --checks-fencing; done
for n in 1 2 3 4 5; do engine draft-$n pension-drafts; done

extra_settings='"heartbeat_ms": 200, "suspicion_ms": 1000, "poll_ms": 1000, "lease_ttl_ms": 2000, "order_timeout_ms": 1500,'
traced=obihiro-1
start_daemons obihiro-1:obihiro obihiro-2:obihiro kushiro-1:kushiro kushiro-2:kushiro tomakomai-1:tomakomai \
  leeds-a-1:leeds-a leeds-a-2:leeds-a leeds-b-1:leeds-b leeds-c-1:leeds-c || exit 1

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
confirm "$out/kitamura.json" && confirm "$out/hallworth.json" || exit 1
sleep 2

train() { # CAMPAIGN MODEL KEY ZONES STALENESS
  start "trainer-$1" $bin/trestlerack-standin trainer --campaign "$1" --model "$2" --nodes "$joined" --key "$3" \
    --weights "$weights" --steps 8 --groups 8 --size 4 --train-ms 700 --zones "$4" --staleness "$5" \
    --out "$out/trainer-$1.json" --samples "$out/samples-$1.jsonl"
}
train rinse-advice-rl rinse-advice kitamura-key obihiro,kushiro 2
train pension-drafts-rl pension-drafts hallworth-key leeds-a,leeds-b 1
start application $bin/trestlerack-standin application --nodes "$joined" --key kitamura-key --service wash-records \
  --backends "$(address records-1),$(address records-2)" --model rinse-advice --rounds 40 \
  --out "$out/application-kitamura.json"

case $break_with in
  mislabel) call POST "$(address draft-3)" /faults '{"mode":"mislabel"}' ;;
  double-write) call POST "$table" /faults '{"mode":"double-write"}' ;;
esac

sleep 2.5
echo "killing node kushiro-1 and engine rinse-2"
kill -9 "${pid_of[kushiro-1]}" "${pid_of[rinse-2]}"
wait_for trainer-rinse-advice-rl trainer-pension-drafts-rl application || {
  echo "the trainers did not end; see $out" >&2
  exit 1
}

tool show nodes
tool trace rinse-advice-rl/3/g0/0
$bin/trestlerack replay "$out"/traces/*.jsonl || { echo "recorded decisions do not replay; see $out" >&2; exit 1; }
$bin/trestlerack-standin report "$out"/trainer-*.json "$out"/samples-*.jsonl "$out"/engine-*.jsonl "$out"/application-*.json
code=$?
[ $code -eq 0 ] && rm -rf "$out" || echo "logs are kept in $out"
exit $code
