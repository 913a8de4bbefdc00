# Callers that keep requests open against one host with lowered limits, and the checks of that host.
# Sourced after scripts/process-tests/common.sh and scripts/lib/fleetdriver.sh.

target=entry-0 # The host under attack, its address and its port.
target_address=
target_port=$caller_port
target_path=/chat/open
more_listeners= # Lines of the section [listen] of entry-0.
has_lowered_stores= # Set: the storage hosts have the lowered limit too.
descriptor_limit= # Set: that many are all that entry-0 may have.
mesh_port=20000

caller_memory_mb=8
max_body_bytes=1048576
bulk_route= # One more route of the fleet, in front of the others, with a comma.
# What the host may grow by: the memory of callers, and as much again twice for the allocator and what is not callers' input.
allowed_growth_kb=$((3 * caller_memory_mb * 1024))
spare_descriptors=64

lower_memory() { # NODE
  printf '[limits]\ncaller_memory_mb = %d\n' "$caller_memory_mb" >>"$work/$1/settings.toml"
}

# start_lowered_fleet   Three storage hosts, entry-0 with lowered memory for callers, and backend servers. Sets
# `memory` to what entry-0 has resident before any load.
start_lowered_fleet() {
  write_chat_routes "$work/routes.json"
  # The times are long, so that no request is ended for being slow.
  sed -i "s/\"maxBodyBytes\":[0-9]*/\"maxBodyBytes\":$max_body_bytes/; s/\"headerTimeoutMs\":[0-9]*/\"headerTimeoutMs\":120000/
    s/\"idleTimeoutMs\":[0-9]*/\"idleTimeoutMs\":120000/; s#\"routes\":\[#&$bulk_route#" "$work/routes.json"
  local i
  for i in 0 1 2; do
    write_node "store-$i" 3 true
    [ -z "$has_lowered_stores" ] || lower_memory "store-$i"
    start_node "store-$i"
  done
  write_node entry-0 3 true
  lower_memory entry-0
  [ -z "$more_listeners" ] || sed -i "s/^\[listen\]/&\n$more_listeners/" "$work/entry-0/settings.toml"
  start entry-0 ${descriptor_limit:+prlimit --nofile="$descriptor_limit:$descriptor_limit"} \
    "$bin/persimmonlb-node" --settings "$work/entry-0/settings.toml"
  wait_for "$start_patience" routes_taken "$work/routes.json" || fail "routes"
  wait_for "$start_patience" node_ready entry-0 || fail "start of entry-0"
  start_driver 3 1 --servers 3 --rate 1 --seconds 200
  wait_for 30 is_served || fail "no request is served before the load"
  target_address=$(node_address "$target")
  memory=$(status_field VmRSS)
}

# aim_at NAME ADDRESS PORT   Further attacks go to another listener; a host counts from its memory now.
aim_at() {
  target=$1
  target_address=$2
  target_port=$3
  memory=$(status_field VmRSS)
}

# status_field NAME   Prints a field of the kernel's status of the target, in kB where it is memory.
status_field() {
  sed -n "s/^$1:[[:space:]]*\([0-9]*\).*/\1/p" "/proc/${pid_of[$target]}/status"
}

descriptors() {
  local open=("/proc/${pid_of[$target]}/fd/"*)
  echo "${#open[@]}"
}

# is_served   True when an ordinary request gets its answer.
is_served() {
  curl -sf --max-time 5 -o /dev/null -X POST -H "Host: chat.example" -H "Request-Id: r-$RANDOM$RANDOM" -H "Model: m" \
    -H "Token-Count: 300,80" -H "Prompt-Prefix: a1:100,b1:100" -H "Deadline-Ms: 5000" \
    "http://$(node_address entry-0):$caller_port/chat/ordinary"
}

# input_is_read   True when the target has read everything that was sent to its listener.
input_is_read() {
  local a b c d local_address
  IFS=. read -r a b c d <<<"$target_address"
  local_address=$(printf '%02X%02X%02X%02X:%04X' "$d" "$c" "$b" "$a" "$target_port")
  ! awk -v at="$local_address" '{ split($5, queues, ":") }
      ($2 == at && queues[2] != "00000000") || ($3 == at && queues[1] != "00000000")' /proc/net/tcp | grep -q .
}

# attack NAME CONNECTIONS ARGUMENT...   Opens requests at the target until all are written or ended, and checks the host.
# VmHWM is the most memory that the process ever had resident.
attack() {
  local name=$1 connections=$2 open peak
  shift 2
  open=$(descriptors)
  start "$name" "$bin/hostilecaller" --ip "$target_address" --port "$target_port" --host chat.example \
    --path "$target_path" --connections "$connections" "$@"
  wait_for 90 grep -q settled "$work/$name.log" || fail "$name: the host does not read on"
  wait_for 60 input_is_read || fail "$name: the host does not read on"
  if [[ " $* " == *" --until-closed "* ]]; then
    wait_for 60 grep -q "all closed" "$work/$name.log" || fail "$name: the host keeps the connections"
  fi
  kill -0 "${pid_of[$target]}" 2>/dev/null || fail "$name: the host has ended"
  peak=$(status_field VmHWM)
  echo "$name: $(grep settled "$work/$name.log"); resident $memory kB, peak $peak kB; descriptors $open, then $(descriptors)"
  [ "$(descriptors)" -le $((open + connections + spare_descriptors)) ] || fail "$name: too many descriptors"
  [ "$peak" -le $((memory + allowed_growth_kb)) ] || fail "$name: grew by more than $allowed_growth_kb kB"
  wait_for 30 is_served || fail "$name: no ordinary request is served"
  kill -TERM "${pid_of[$name]}"
  forget_process "${pid_of[$name]}"
}
