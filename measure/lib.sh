# Starts and stops processes for the demo and the measurements; sourced, not run.
# Everything is on loopback with port 0, and everything that was started is ended by pid.

# Cargo says where its programs are; the caller's environment or settings may have moved the place.
bin=$(cargo metadata --locked --no-deps --format-version 1 | sed -n 's/.*"target_directory":"\([^"]*\)".*/\1/p')/release

# open_run NAME: builds, makes the folder $out and arranges that everything stops at the end.
open_run() {
  cargo build --locked --release --workspace --quiet || exit 1
  out=$(mktemp -d "${TMPDIR:-/tmp}/trestlerack-$1.XXXXXX")
  pids=()
  declare -gA pid_of=()
  trap 'code=$?; stop_all; exit $code' EXIT
  trap 'exit 130' INT TERM
  echo operator-key >"$out/operator.key"
  echo link-key >"$out/link.key"
  echo '{"kitamura-key": "kitamura", "hallworth-key": "hallworth"}' >"$out/callers.json"
}

stop_all() {
  trap - EXIT INT TERM
  local pid
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill "$pid" 2>/dev/null; done
  for _ in $(seq 30); do
    local left=0
    for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill -0 "$pid" 2>/dev/null && left=1; done
    [ $left -eq 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null; done
  pids=()
}

# start NAME COMMAND...: runs in the background.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.out" 2>"$out/$name.log" &
  pid_of[$name]=$!
  pids+=("$!")
  disown "$!" 2>/dev/null
}

# address NAME: prints what a process wrote once it listened.
address() {
  local file=$out/$1.address
  for _ in $(seq 400); do
    [ -s "$file" ] && { cat "$file"; return; }
    sleep 0.05
  done
  echo "$1 did not start; see $out/$1.log" >&2
  return 1
}

# field NAME KEY: one address of a daemon.
field() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" <<<"$(address "$1")"; }

# standin NAME KIND OPTION...
standin() {
  local name=$1 kind=$2
  shift 2
  start "$name" $bin/trestlerack-standin "$kind" --address-file "$out/$name.address" "$@"
}

call() { $bin/trestlerack-standin call "$@" >/dev/null; }
tool() { $bin/trestlerack --node "${all_nodes[0]}" --key-file "$out/operator.key" "$@"; }

# start_platform: table, objects, membership list and weight store.
start_platform() {
  standin table table
  standin objects objects
  standin members members --lag-ms 300
  standin weights weights --per-second "${weights_per_second:-40}"
  table=$(address table) && objects=$(address objects) && members=$(address members) && weights=$(address weights)
}

# start_daemons NAME:ZONE...: $extra_settings are further lines of each settings file.
start_daemons() {
  local entry name list='' extra
  for entry in "$@"; do
    name=${entry%%:*}
    extra=${extra_settings:-}
    [ "$name" = "${traced:-}" ] && extra+=" \"trace_dir\": \"$out/traces\","
    cat >"$out/$name.json" <<JSON
{
  "name": "$name", "zone": "${entry##*:}", "listen": "127.0.0.1:0", "link_listen": "127.0.0.1:0",
  "table": "$table", "objects": "$objects", "membership": "$members",
  // The defaults suit a wide network; these make a run on loopback short.
  $extra
  "caller_keys_file": "$out/callers.json", "operator_key_file": "$out/operator.key",
  "link_key_file": "$out/link.key", "address_file": "$out/$name.address"
}
JSON
    start "$name" $bin/trestlerackd --settings "$out/$name.json"
  done
  all_nodes=()
  for entry in "$@"; do
    name=${entry%%:*}
    list+="${list:+,}{\"name\":\"$name\",\"zone\":\"${entry##*:}\",\"link\":\"$(field "$name" link)\"}"
    all_nodes+=("$(field "$name" listen)")
  done
  joined=$(IFS=,; echo "${all_nodes[*]}")
  call PUT "$members" /members "{\"nodes\":[$list]}"
}

# backend NAME KIND ZONE SERVICE [MORE]: the declaration of a started backend server.
backend() { echo "{\"name\":\"$1\",\"kind\":\"$2\",\"zone\":\"$3\",\"service\":\"$4\",\"address\":\"$(address "$1")\"${5:+,$5}}"; }

# confirm FILE: plans a declaration and confirms the plan.
confirm() {
  tool plan "$1" --out "$1.plan" && tool confirm "$1" --plan "$1.plan"
}

# wait_for NAME...: waits up to $patience seconds for processes to end by themselves.
wait_for() {
  local name left
  for _ in $(seq $((${patience:-120} * 10))); do
    left=0
    for name in "$@"; do kill -0 "${pid_of[$name]}" 2>/dev/null && left=1; done
    [ $left -eq 0 ] && return 0
    sleep 0.1
  done
  return 1
}
