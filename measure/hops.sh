#!/usr/bin/env bash
# Latency of one hop and of two against calling the engine directly, and calls and tokens per core.
#
# Usage: measure/hops.sh
set -u
cd "$(dirname "$0")/.."
. measure/lib.sh
open_run hops
start_platform || exit 1
standin engine-1 engine --name engine-1 --model model --slots 256 --token-ms 0 --prefill-ms 0 --weights "$weights"
extra_settings='"log_level": "error",'
start_daemons owner:a other:b || exit 1
cat >"$out/declaration.json" <<JSON
{
  "scope": "hops", "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "users": [{"name": "kitamura", "places": ["a"], "calls_per_second": 1000000}],
  "backends": [$(backend engine-1 engine a model '"slots": 256')]
}
JSON
confirm "$out/declaration.json" >/dev/null || exit 1
sleep 5
$bin/trestlerack-standin hops --engine "$(address engine-1)" --owner "${all_nodes[0]}" --other "${all_nodes[1]}" \
  --owner-pid "${pid_of[owner]}" --other-pid "${pid_of[other]}" --key kitamura-key
rm -rf "$out"
