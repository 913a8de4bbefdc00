# Functions that start a small system of real processes on loopback and stop it by process id.
# Source this file; set `bin` to the folder of the programs and `work` to an empty folder first.

pids=()
declare -A pid_of=()

# Prints a TCP port of 127.0.0.1 on which nothing listens. Ports are taken from a range per caller,
# so that two scripts at once seldom try the same one.
free_port() {
  local port
  while true; do
    port=$((20000 + (RANDOM * 7 + RANDOM) % 12000))
    [ -e "$work/port-$port" ] && continue
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      : >"$work/port-$port"
      echo "$port"
      return
    fi
  done
}

write_keys() {
  local name
  for name in mesh operator backend; do
    (umask 077 && printf '%s-secret-%s\n' "$name" "$RANDOM$RANDOM" >"$work/$name.key")
  done
}

# write_settings HOST ZONE ROLES ENTRY_PORT MESH_PORT PEER... (PEER is HOST:MESH_PORT:CONTROL)
write_settings() {
  local host=$1 zone=$2 roles=$3 entry_port=$4 mesh_port=$5 peer name port control
  shift 5
  mkdir -p "$work/$host"
  {
    echo "[host]"
    echo "id = \"$host\""
    echo "region = \"sw-ng\""
    echo "availability_zone = \"$zone\""
    echo "roles = $roles"
    echo "data_folder = \"$work/$host/data\""
    echo "[entry]"
    echo "listen = \"127.0.0.1:$entry_port\""
    echo "answer_ttl_ms = ${answer_ttl_ms:-1000}"
    echo "drain_linger_ms = 200"
    echo "routing_policy = \"${routing_policy:-affinity}\""
    echo "[batch]"
    echo "enabled = ${batch_enabled:-true}"
    echo "yield = ${batch_yield:-true}"
    echo "[mesh]"
    echo "listen = \"127.0.0.1:$mesh_port\""
    echo "key_file = \"$work/mesh.key\""
    for peer in "$@"; do
      IFS=: read -r name port control <<<"$peer"
      [ "$name" = "$host" ] && continue
      echo "[[mesh.peer]]"
      echo "host = \"$name\""
      echo "address = \"127.0.0.1:$port\""
      echo "control = $control"
    done
    echo "[keys]"
    echo "operator_key_file = \"$work/operator.key\""
    echo "backend_key_file = \"$work/backend.key\""
    echo "[control]"
    echo "lease_ms = ${lease_ms:-2000}"
    echo "snapshot_entries = ${snapshot_entries:-100000}"
    echo "[log]"
    echo "level = \"${log_level:-info}\""
  } >"$work/$host/settings.toml"
}

# start NAME PROGRAM ARG...   Starts a program in the background; its output goes to $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

start_host() {
  start "$1" "$bin/persimmonlbd" --settings "$work/$1/settings.toml"
}

# wait_for SECONDS COMMAND...   Runs the command every 100 ms until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# stop_all   Ends every process that was started here: first by SIGTERM, after 15 s by SIGKILL.
stop_all() {
  local pid end=$((SECONDS + ${stop_seconds:-15}))
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
