#!/usr/bin/env bash
# Prints a copy of a site file of the users' bench with one kind of figure changed, to see what the
# code takes for granted: measure/variant.sh SITE.toml VARIANT >/tmp/site.toml
#
#   loads-long, loads-short    a change of version takes three times as long, or a third
#   loads-few                  a quarter as many engines load at once without slowing each other
#   work-long, work-short      requests to plain services work three times as long, or a third
#   pace-short                 engines make their events in a third of the time
#   store-low                  the store takes a third of the calls, of each partition too
#   store-far                  a transaction of the store takes three times as long
set -eu
site=${1:?usage: variant.sh SITE.toml VARIANT}
variant=${2:?usage: variant.sh SITE.toml VARIANT}

# Multiplies the figure behind each of the given keys.
scale() {
  local factor=$1
  shift
  local keys
  keys=$(IFS='|' && echo "$*")
  KEYS=$keys FACTOR=$factor perl -pe 's/\b($ENV{KEYS}) = ([\d.]+)/"$1 = " . figure($2)/ge;
    sub figure { my $f = $_[0] * $ENV{FACTOR}; $_[0] =~ m{\.} ? sprintf("%.6g", $f) =~ s{^(\d+)$}{$1.0}r : int($f) || 1 }' "$site"
}

case $variant in
  loads-long) scale 3 warm_s ;;
  loads-short) scale 0.333 warm_s ;;
  loads-few) scale 0.25 at_once ;;
  work-long) KEYS=work_ms perl -pe 's/(work_ms = \{ mean = )([\d.]+)/$1 . $2 * 3 . ".0"/e;
      s/(work_ms = \{[^}]*max = )([\d.]+)/$1 . $2 * 3 . ".0"/e' "$site" ;;
  work-short) perl -pe 's/(work_ms = \{ mean = )([\d.]+)/$1 . sprintf("%.1f", $2 \/ 3)/e;
      s/(work_ms = \{[^}]*max = )([\d.]+)/$1 . sprintf("%.1f", $2 \/ 3)/e' "$site" ;;
  pace-short) scale 0.333 step_ms ;;
  store-low) scale 0.333 writes_per_s reads_per_s part_writes_per_s ;;
  store-far) scale 3 tx_ms ;;
  *)
    echo "unknown variant $variant" >&2
    exit 2
    ;;
esac
