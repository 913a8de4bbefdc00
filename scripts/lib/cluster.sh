# Functions that start a small system of real processes on loopback and stop it by process id.
# Source this file; set `bin` to the folder of the programs and `work` to an empty folder first.

pids=()
declare -A pid_of=()

# take_network   Takes a /24 network of 127.0.0.0/8 for this script and all that it starts, and sets `net` to its first
# three numbers and `address` to its first address. No two scripts hold the same one: a network is held by a lock on a
# file, which ends with the last process that inherited it.
take_network() {
  local number folder=/tmp/persimmonlb-networks mask
  mask=$(umask)
  umask 0
  mkdir -p "$folder"
  for ((number = 0; number < 4096; number++)); do
    exec {network_lock}>"$folder/$number"
    if flock -n "$network_lock"; then
      net=127.$((100 + number / 256)).$((number % 256))
      address=$net.1
      umask "$mask"
      return
    fi
    exec {network_lock}>&-
  done
  echo "every loopback network is taken" >&2
  return 1
}
take_network

# Prints a TCP port of $address that was not printed before. Nothing else listens there, and outgoing connections take
# their ports at 127.0.0.1.
free_port() {
  local port
  port=$(cat "$work/next-port" 2>/dev/null || echo 20000)
  echo $((port + 1)) >"$work/next-port"
  echo "$port"
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
    echo "listen = \"$address:$entry_port\""
    echo "answer_ttl_ms = ${answer_ttl_ms:-1000}"
    echo "drain_linger_ms = 200"
    echo "routing_policy = \"${routing_policy:-affinity}\""
    echo "[batch]"
    echo "enabled = ${batch_enabled:-true}"
    echo "yield = ${batch_yield:-true}"
    echo "[mesh]"
    echo "listen = \"$address:$mesh_port\""
    echo "key_file = \"$work/mesh.key\""
    for peer in "$@"; do
      IFS=: read -r name port control <<<"$peer"
      [ "$name" = "$host" ] && continue
      echo "[[mesh.peer]]"
      echo "host = \"$name\""
      echo "address = \"$address:$port\""
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
  # A signal that arrives before exec must not run the test's own clean-up.
  (trap - EXIT && exec "$@") >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

start_host() {
  start "$1" "$bin/persimmonlbd" --settings "$work/$1/settings.toml"
}

# Seconds for hosts to open their stores, form a group and take a sheet before a scenario begins: no promise, only a
# bound on a hang. Some 60 syncs; a disk was seen on which diskstore_test took 54 s at 0.46 s of processor time.
start_patience=90

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

# plan_hosts N   Chooses ports for host-0 .. host-(N-1), all entry and control, and writes their settings.
# Sets entry_ports, hosts (for --host) and urls.
plan_hosts() {
  local count=$1 i zones=(ife-a ibadan-b osogbo-c akure-d)
  peers=()
  entry_ports=()
  urls=()
  hosts=
  for ((i = 0; i < count; i++)); do
    entry_ports+=("$(free_port)")
    peers+=("host-$i:$(free_port):true")
    urls+=("http://$address:${entry_ports[$i]}")
    hosts+=${hosts:+,}$address:${entry_ports[$i]}
  done
  for ((i = 0; i < count; i++)); do
    write_settings "host-$i" "${zones[$((i % 4))]}" '["entry", "control"]' "${entry_ports[$i]}" \
      "$(cut -d: -f2 <<<"${peers[$i]}")" "${peers[@]}"
  done
}

# start_group N   Starts host-0 .. host-(N-1) of the plan and the control group of all of them.
start_group() {
  local count=$1 i names=()
  for ((i = 0; i < count; i++)); do
    names+=("host-$i")
    start_host "host-$i"
  done
  for ((i = 0; i < count; i++)); do
    wait_for "$start_patience" curl -sf "${urls[$i]}/healthz" || return 1
  done
  wait_for "$start_patience" ctl group init "${names[@]}"
}

# ctl ARG...   persimmonlbctl as operator.
ctl() {
  "$bin/persimmonlbctl" --host "$hosts" --key-file "$work/operator.key" --operator planner "$@"
}

# start_engine NAME ARG...   Starts a stand-in of a model engine for lettering-lm.
start_engine() {
  local name=$1
  shift
  start "$name" "$bin/fakeengine" --listen "$address:$(free_port)" --server "$name" \
    --service lettering-lm --kind engine --announce "$hosts" \
    --backend-key-file "$work/backend.key" --model lettering-7b --version 1 --run-seconds 180 "$@"
}

# start_plain NAME ARG...   Starts a stand-in of the plain service booking-app.
start_plain() {
  local name=$1
  shift
  start "$name" "$bin/fakeengine" --listen "$address:$(free_port)" --server "$name" \
    --service booking-app --kind plain --announce "$hosts" \
    --backend-key-file "$work/backend.key" --run-seconds 180 "$@"
}

# servers_ready N   True when every host sees at least N ready backend servers.
servers_ready() {
  local url count
  for url in "${urls[@]}"; do
    count=$("$bin/persimmonlbctl" --host "${url#http://}" --key-file "$work/operator.key" --json \
      server list | grep -o '"state":"ready"' | wc -l)
    [ "$count" -ge "$1" ] || return 1
  done
}

# sheet_in_force   True when the sheet is in force everywhere.
sheet_in_force() {
  ctl --json sheet status | grep -q '"in_force_everywhere":true'
}

# group_field HOST_INDEX FIELD   Prints a field of a host's group status.
group_field() {
  curl -sS --max-time 2 -H "Authorization: Bearer $(cat "$work/operator.key")" \
    "${urls[$1]}/v1/admin/group" | grep -o "\"$2\":\"[^\"]*\"" | cut -d'"' -f4
}

# leader_index   Prints the index of the host that leads, as the first host that answers says.
leader_index() {
  local i leader
  for i in "${!urls[@]}"; do
    leader=$(group_field "$i" leader 2>/dev/null || true)
    if [ -n "$leader" ]; then
      echo "${leader#host-}"
      return 0
    fi
  done
  return 1
}

# kill_now NAME   Ends a process that was started here by SIGKILL.
kill_now() {
  kill -KILL "${pid_of[$1]}" 2>/dev/null || true
  wait "${pid_of[$1]}" 2>/dev/null || true
}

# write_job FILE COUNT [IDEMPOTENT [MAX_TOKENS]]   Writes a batch job of COUNT items.
write_job() {
  local i
  for ((i = 1; i <= $2; i++)); do
    echo "{\"custom_id\":\"item-$i\",\"idempotent\":${3:-true},\"body\":{\"model\":\"lettering-lm\",\"max_tokens\":${4:-4},\"messages\":[{\"role\":\"user\",\"content\":\"draft $i\"}]}}"
  done >"$1"
}

# market ARG...   persimmonlbctl as the caller market.
market() {
  [ -e "$work/market.key" ] || (umask 077 && echo market-key >"$work/market.key")
  "$bin/persimmonlbctl" --host "$hosts" --caller market --key-file "$work/market.key" "$@"
}

# submit_job FILE   Submits a job of the caller market and prints its id.
submit_job() {
  market --json job submit --service lettering-lm "$1" | grep -o 'job-[0-9a-f]*' | head -1
}

# start_fleet N   N entry hosts, the first three also control hosts, with examples/sheet.toml in force.
start_fleet() {
  local count=$1 i j
  plan_hosts "$count"
  for ((i = 3; i < count; i++)); do
    sed -i 's/^roles = .*/roles = ["entry"]/' "$work/host-$i/settings.toml"
  done
  for ((i = 0; i < count; i++)); do
    for ((j = 3; j < count; j++)); do
      sed -i "/^host = \"host-$j\"\$/,/^control = /s/^control = .*/control = false/" \
        "$work/host-$i/settings.toml"
    done
    start_host "host-$i"
  done
  for ((i = 0; i < count; i++)); do
    wait_for 20 curl -sf "${urls[$i]}/healthz" || return 1
  done
  wait_for 20 ctl group init host-0 host-1 host-2
  wait_for 20 ctl sheet apply examples/sheet.toml
  wait_for 30 sheet_in_force
}

# ---- persimmonlb-node: hosts of a fleet, each with an address of its own in $net -------------------------------------

control_port=20001
caller_port=20002
readiness_port=20003

# node_address NAME   Prints the address of a host: store-N is $net.(10 + N), entry-N is $net.(100 + N).
node_address() {
  local number=${1##*-}
  case $1 in
    store-*) echo "$net.$((10 + number))" ;;
    entry-*) echo "$net.$((100 + number))" ;;
  esac
}

# write_node NAME STORES MAY_FORM   Settings of a host of a fleet whose storage hosts are store-0 to store-(STORES-1).
write_node() {
  local name=$1 stores=$2 may_form=$3 ip takes=false keeps=false i seeds=
  ip=$(node_address "$name")
  case $name in store-*) keeps=true ;; *) takes=true ;; esac
  for ((i = 0; i < stores && i < 3; i++)); do
    seeds+="${seeds:+, }\"$(node_address "store-$i"):$control_port\""
  done
  mkdir -p "$work/$name"
  {
    echo "[host]"
    echo "ip = \"$ip\""
    echo "name = \"$name\""
    echo "region = \"sw-ng\""
    echo "availability_zone = \"ife-a\""
    echo "takes_callers = $takes"
    echo "stores = $keeps"
    echo "data_folder = \"$work/$name/data\""
    echo "[listen]"
    echo "callers = \"$([ $takes = true ] && echo "$ip:$caller_port")\""
    echo "readiness = \"$([ $takes = true ] && echo "$ip:$readiness_port")\""
    echo "control = \"$([ $keeps = true ] && echo "$ip:$control_port")\""
    echo "[mesh]"
    echo "port = 20000"
    echo "key = \"fleet of a test\""
    echo "[fleet]"
    echo "seeds = [$seeds]"
    echo "may_form = $may_form"
    echo "losses_borne = ${losses_borne:-1}"
    echo "answer_ttl_ms = 2000"
    echo "stop_grace_s = 8"
    echo "results_kept_s = 120"
    echo "[log]"
    echo "level = \"${log_level:-info}\""
  } >"$work/$name/settings.toml"
}

declare -A starts_of=() # By node, since its log began.

start_node() {
  starts_of[$1]=$((${starts_of[$1]:-0} + 1))
  start "$1" "$bin/persimmonlb-node" --settings "$work/$1/settings.toml"
}

# node_started NAME   True once the latest process of a node is up and takes signals.
node_started() {
  [ "$(grep -c 'event=started host' "$work/$1.log" 2>/dev/null)" -ge "${starts_of[$1]:-1}" ]
}

# node_ready NAME   True when an entry host takes callers.
node_ready() {
  curl -sf --max-time 2 "http://$(node_address "$1"):$readiness_port/persimmonlb/readiness"
}

# routes_taken FILE   True when a storage host acknowledges the routes of a file.
routes_taken() {
  curl -sf --max-time 3 -X PUT -H "Content-Type: application/json" --data-binary "@$1" \
    "http://$(node_address store-0):$control_port/persimmonlb/configuration"
}

# start_nodes STORES ENTRIES ROUTES   Starts the hosts of a fleet and puts the routes of a file in force.
start_nodes() {
  local stores=$1 entries=$2 routes=$3 i
  for ((i = 0; i < stores; i++)); do
    write_node "store-$i" "$stores" true
    start_node "store-$i"
  done
  for ((i = 0; i < entries; i++)); do
    write_node "entry-$i" "$stores" true
    start_node "entry-$i"
  done
  wait_for "$start_patience" routes_taken "$routes" || return 1
  for ((i = 0; i < entries; i++)); do
    wait_for "$start_patience" node_ready "entry-$i" || return 1
  done
}

# node_leader   Prints the name of the storage host that started to lead last, as the logs say.
node_leader() {
  grep -h 'event=became_leader' "$work"/store-*.log >/dev/null || return 1
  grep -H 'event=became_leader' "$work"/store-*.log | sed 's#^.*/\(store-[0-9]*\)\.log:\([^ ]*\).*#\2 \1#' | sort | tail -n 1 \
    | cut -d' ' -f2
}
