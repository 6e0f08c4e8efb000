#!/usr/bin/env bash
# Writes a smaller copy of a site file of the users' bench, to see what grows with the fleet:
# measure/smaller.sh SITE.toml DIVISOR FOLDER. Machines, servers and loads at once are divided, and
# traffic and steps stay. Prints the copy's path; the wire file of the site is put beside it.
set -eu
site=${1:?usage: smaller.sh SITE.toml DIVISOR FOLDER}
divisor=${2:?usage: smaller.sh SITE.toml DIVISOR FOLDER}
folder=${3:?usage: smaller.sh SITE.toml DIVISOR FOLDER}
name=$(basename "$site" .toml)-$divisor

mkdir -p "$folder"
cp "$(dirname "$site")/wire.json" "$folder/"
DIVISOR=$divisor NAME=$name perl -ne '
  sub part { my ($least, $count) = @_; my $part = int($count / $ENV{DIVISOR} + 0.5); $part < $least ? $least : $part }
  next if /^small = /;
  s/^name = .*/name = "$ENV{NAME}"/ && $named++ unless $named;
  if (/class = "front"/) { s/\bcount = (\d+)/"count = " . part(1, $1)/ge; s/\bspare = (\d+)/"spare = " . part(0, $1)/ge }
  elsif (/\bservers = \[/) { s/\bcount = (\d+)/"count = " . part(1, $1)/ge }
  elsif (/^at_once = (\d+)/) { $_ = "at_once = " . part(1, $1) . "\n" }
  print' "$site" >"$folder/$name.toml"
echo "$folder/$name.toml"
