#!/usr/bin/env bash
# Scores deployments of the users' bench one after the other and prints a table against their
# baselines: measure/regress.sh BENCH JOBS SITE.toml...
#
# BENCH is the bench's program, JOBS how many days it plays at once. Baselines are the mean worths
# of the days with trouble in measure/baselines.tsv; a fall of more than 0.03 is marked.
set -eu
bench=${1:?usage: regress.sh BENCH JOBS SITE.toml...}
jobs=${2:?usage: regress.sh BENCH JOBS SITE.toml...}
shift 2
baselines=$(dirname "$0")/baselines.tsv
logs=$(mktemp -d)

printf '%-24s %7s %8s %7s  %s\n' site worth baseline diff gate
for site in "$@"; do
  name=$(basename "$site" .toml)
  "$bench" score "$site" --jobs "$jobs" --why "regression against the baselines" >"$logs/$name.log" 2>&1 || true
  worth=$(awk '$1 ~ /^(trouble|scale)-/ && $2 ~ /\// { sum += $4; days++ } END { if (days) printf "%.3f", sum / days }' "$logs/$name.log")
  baseline=$(awk -F '\t' -v name="$name" '$1 == name { print $2 }' "$baselines")
  gate=$(grep -o 'GATE [a-z]*' "$logs/$name.log" || echo 'no result')
  diff=$(awk -v worth="$worth" -v base="$baseline" 'BEGIN { if (worth != "" && base != "") printf "%+.3f", worth - base }')
  mark=$(awk -v diff="$diff" 'BEGIN { if (diff != "" && diff < -0.03) print " fell" }')
  printf '%-24s %7s %8s %7s  %s%s\n' "$name" "$worth" "$baseline" "$diff" "$gate" "$mark"
done
echo "logs: $logs"
