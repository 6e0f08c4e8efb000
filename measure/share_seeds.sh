#!/usr/bin/env bash
# Runs the tests of customers' shares with each seed in a range and counts the failures by test.
#
# Usage: measure/share_seeds.sh FIRST_SEED LAST_SEED
set -eu
first_seed=${1:?usage: share_seeds.sh FIRST_SEED LAST_SEED}
last_seed=${2:?usage: share_seeds.sh FIRST_SEED LAST_SEED}
cd "$(dirname "$0")/.."
build_command="cargo test --release --locked -p trestlerack --test shares_nodes --no-run --message-format json"
test_binary=$($build_command 2>/dev/null | grep -o '"executable":"[^"]*shares_nodes[^"]*"' | cut -d '"' -f 4)
[ -x "$test_binary" ] || { echo "the tests do not build; run: $build_command" >&2; exit 1; }
for seed in $(seq "$first_seed" "$last_seed"); do
  # A failing test must not stop the loop.
  SHARE_SEED=$seed "$test_binary" --test-threads 2 2>/dev/null | grep -E '^test .* FAILED$' | sed "s/^/seed $seed: /" || true
done | tee /dev/stderr | awk '{ failures[$4]++ } END { for (name in failures) print failures[name], name }' | sort -rn
