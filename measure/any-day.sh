#!/usr/bin/env bash
# Prints a day for the users' bench that draws faults from every kind that it lists, whatever the
# site's own days hold: measure/any-day.sh SEED [FAULTS] >day.toml
set -eu
seed=${1:?usage: any-day.sh SEED [FAULTS]}
count=${2:-9}
RANDOM=$seed

# Each line is a fault without its time, as the bench's verb `kinds` describes the fields.
faults=(
  'kind = "give_up", share = 0.3, for_s = 5.0'
  'kind = "srv_crash", share = 0.25, for_s = 4.0'
  'kind = "srv_crash", share = 0.25, for_s = 4.0, how = "dark"'
  'kind = "srv_crash", share = 0.2, how = "gone"'
  'kind = "srv_slow", share = 0.3, x = 5.0, for_s = 6.0'
  'kind = "srv_grey", share = 0.25, x = 0.5, for_s = 5.0, how = "errors"'
  'kind = "srv_grey", share = 0.25, x = 0.5, for_s = 5.0, how = "shed"'
  'kind = "srv_grey", share = 0.25, x = 0.5, for_s = 5.0, how = "busy"'
  'kind = "srv_grey", share = 0.25, x = 0.5, for_s = 5.0, how = "hang"'
  'kind = "srv_grey", share = 0.25, x = 0.5, for_s = 5.0, how = "reset"'
  'kind = "srv_grey", share = 0.25, x = 0.5, for_s = 5.0, how = "mute"'
  'kind = "srv_lying_health", share = 0.25, for_s = 5.0, how = "hang"'
  'kind = "srv_lying_health", share = 0.25, for_s = 5.0, how = "errors"'
  'kind = "srv_flap", share = 0.25, gap_s = 1.0, for_s = 6.0'
  'kind = "srv_cut", share = 0.3, for_s = 4.0'
  'kind = "srv_cut", share = 0.3, for_s = 4.0, how = "some"'
  'kind = "srv_cut", share = 0.3, for_s = 4.0, how = "some lossy"'
  'kind = "srv_cut", share = 0.3, for_s = 4.0, how = "one_way"'
  'kind = "srv_cut", share = 0.3, for_s = 4.0, how = "reborn"'
  'kind = "release", share = 0.5, x = 2.0, gap_s = 0.7'
  'kind = "scale_in", share = 0.25'
  'kind = "scale_in", share = 0.25, how = "spot", x = 2.0'
  'kind = "scale_out", share = 0.3, gap_s = 2.0'
  'kind = "replace_with_reuse", share = 0.25'
  'kind = "replace_with_reuse", share = 0.25, how = "drain"'
  'kind = "replace_with_reuse", share = 0.25, how = "dark"'
  'kind = "answer_lost", share = 0.6, x = 0.06, for_s = 5.0'
  'kind = "answer_lost", share = 0.6, x = 0.06, for_s = 5.0, how = "reset"'
  'kind = "garble", share = 0.6, x = 0.04, for_s = 5.0'
  'kind = "garble", share = 0.6, x = 0.04, for_s = 5.0, how = "extra"'
  'kind = "garble", share = 0.6, x = 0.04, for_s = 5.0, how = "extra late"'
  'kind = "garble", share = 0.6, x = 0.04, for_s = 5.0, how = "unframed"'
  'kind = "garble", share = 0.6, x = 0.04, for_s = 5.0, how = "early"'
  'kind = "idle_race", share = 0.6, x = 200.0, for_s = 8.0'
  'kind = "node_kill", share = 0.3'
  'kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"'
  'kind = "node_kill", on = "core", count = 1, how = "leader race"'
  'kind = "node_kill", on = "core", count = 2, how = "giver"'
  'kind = "node_kill", on = "core", count = 1, how = "leader hard"'
  'kind = "node_freeze", share = 0.25, for_s = 4.0'
  'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "renewed"'
  'kind = "node_freeze", on = "core", count = 1, for_s = 5.0, how = "giver"'
  'kind = "node_slow", share = 0.3, x = 6.0, for_s = 5.0'
  'kind = "herd_kill", share = 0.6'
  'kind = "herd_kill", share = 0.6, how = "power"'
  'kind = "herd_kill", on = "core", how = "taken"'
  'kind = "herd_kill", on = "core", how = "off", for_s = 2.0'
  'kind = "roll_term", share = 0.6, x = 2.0, gap_s = 1.2'
  'kind = "roll_term", how = "busy", gap_s = 1.0'
  'kind = "add_nodes"'
  'kind = "replace_core", x = 1.5'
  'kind = "replace_core", x = 1.5, how = "planned"'
  'kind = "after_ack_kill", for_s = 3.0, how = "taken"'
  'kind = "after_ack_kill", for_s = 3.0, how = "timed"'
  'kind = "hup", share = 0.7, gap_s = 1.0'
  'kind = "reset_conns", share = 0.5, x = 0.7'
  'kind = "clock_step", share = 0.5, x = 5000.0, for_s = 5.0, how = "back"'
  'kind = "clock_step", share = 0.5, x = 5000.0, for_s = 5.0, how = "ahead"'
  'kind = "core_cut", count = 2, for_s = 5.0'
  'kind = "core_cut", count = 1, for_s = 5.0, how = "giver one_way"'
  'kind = "core_cut", count = 1, for_s = 5.0, how = "renewed all"'
  'kind = "node_cut", share = 0.25, for_s = 5.0'
  'kind = "node_cut", share = 0.25, for_s = 5.0, how = "servers"'
  'kind = "node_cut", share = 0.25, for_s = 5.0, how = "all"'
  'kind = "lossy", share = 0.3, x = 0.1, for_s = 5.0'
  'kind = "platform_down", for_s = 4.0, how = "silent lapse"'
  'kind = "platform_down", for_s = 4.0, how = "reset"'
  'kind = "platform_down", for_s = 8.0, share = 0.35, how = "nodes silent revoke meet"'
  'kind = "cloud_slow", x = 80.0, for_s = 6.0'
  'kind = "cloud_down", for_s = 5.0, how = "silent"'
  'kind = "scale_in", how = "reclaim", x = 2.0, for_s = 8.0'
  'kind = "scale_in", how = "reclaim dry", x = 2.0, for_s = 6.0'
  'kind = "platform_down", for_s = 4.0, how = "busy"'
  'kind = "platform_down", for_s = 6.0, share = 0.4, how = "nodes many"'
  'kind = "platform_down", for_s = 6.0, share = 0.4, how = "nodes reset leader"'
  'kind = "platform_down", for_s = 6.0, share = 0.4, how = "nodes"'
  'kind = "platform_slow", x = 50.0, for_s = 4.0'
  'kind = "platform_lost", x = 0.4, for_s = 4.0'
  'kind = "platform_lost", x = 0.4, for_s = 4.0, how = "late"'
  'kind = "platform_compact", x = 3.0, for_s = 6.0'
  'kind = "applied_late", x = 0.5, for_s = 6.0'
  'kind = "burst", x = 4.0, for_s = 4.0'
)
plans=(
  'kind = "config_change", how = "route"'
  'kind = "config_change", how = "timeout"'
  'kind = "config_change", how = "idle"'
  'kind = "config_change", how = "weights"'
  'kind = "config_storm", count = 6, gap_s = 0.3'
)
closings=('' 'closing = { kind = "power_off_all", down_s = 1.0 }' 'closing = { kind = "kill_all", down_s = 0.5 }'
  'closing = { kind = "power_off_all", down_s = 1.0, how = "taken" }')

second() { echo "$((1 + RANDOM % 30)).$((RANDOM % 10))"; }

cat <<HEAD
name = "any-$seed"
slot = "trouble"
seed = $seed
light = true
${closings[RANDOM % ${#closings[@]}]}
faults = [
HEAD
for ((i = 0; i < count; i++)); do
  echo "  { at = $(second), ${faults[RANDOM % ${#faults[@]}]} },"
done
echo "]"
echo "plan = ["
for ((i = 0; i < 3; i++)); do
  echo "  { at = $(second), ${plans[RANDOM % ${#plans[@]}]} },"
done
echo "]"
