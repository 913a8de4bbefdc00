# Hosts of a fleet under the stand-in of servers and callers, with hosts that are stopped, restarted and cut off
# meanwhile. Sourced after scripts/process-tests/common.sh.

# write_chat_routes FILE   One route of streams that may not be resumed, on engines with eight slots.
write_chat_routes() {
  cat >"$1" <<'END'
{"version":1,
 "routes":[{"name":"chat","host":"chat.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":5000,
            "targetLatencyMs":600,"priority":0,"service":"lettering-lm","maxAttempts":2,"sessionAffinity":true,
            "resumable":false,"gapAimMs":250}],
 "services":[{"name":"lettering-lm","healthCheckPath":"/health","maxConnections":400,"protocol":"h1","tls":false,
              "engine":{"slots":8,"kvCacheTokens":72000}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
END
}

# node_list KIND COUNT PORT   Prints "ip:port,..." of the hosts KIND-0 to KIND-(COUNT-1).
node_list() {
  local i list=
  for ((i = 0; i < $2; i++)); do
    list+="${list:+,}$(node_address "$1-$i"):$3"
  done
  echo "$list"
}

# start_driver STORES ENTRIES ARGUMENT...   Starts the stand-in; its pid is in $driver.
start_driver() {
  local stores=$1 entries=$2
  shift 2
  (trap - EXIT && exec "$bin/fleetdriver" --entries "$(node_list entry "$entries" "$caller_port")" \
    --controls "$(node_list store "$stores" "$control_port")" --host chat.example --path /chat/ \
    --service lettering-lm --address "$net.200" "$@") >"$work/driver.txt" 2>&1 &
  driver=$!
  pids+=("$driver")
  wait_for 20 grep -q ready "$work/driver.txt" || fail "start of the stand-in"
}

# disturb COMMAND...   Disturbs a host and tells the stand-in; disturbances.txt says when.
disturb() {
  echo "$(date +%T.%3N) $*" >>"$work/disturbances.txt"
  "$@"
  kill -USR1 "$driver"
}

# forget_process PID   For a process that has ended: its id may be given to another one.
forget_process() {
  local pid left=()
  wait "$1" 2>/dev/null || true
  for pid in "${pids[@]}"; do
    [ "$pid" -eq "$1" ] || left+=("$pid")
  done
  pids=("${left[@]}")
}

kill_node() { # NAME   Kills the process; the host is started again.
  kill -KILL "${pid_of[$1]}" 2>/dev/null || true
  forget_process "${pid_of[$1]}"
  unset "stopping[$1]"
  start_node "$1"
}

declare -A stopping=() # Hosts in a planned stop.

stop_node() { # NAME   Begins a planned stop, see restart_stopped; nothing while the host starts.
  node_started "$1" || return 0
  stopping[$1]=1
  kill -TERM "${pid_of[$1]}"
}

# restart_stopped   Starts the hosts again whose planned stop has ended.
restart_stopped() {
  local name
  for name in "${!stopping[@]}"; do
    if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
      forget_process "${pid_of[$name]}"
      unset "stopping[$name]"
      start_node "$name"
    fi
  done
}

freeze_node() { # NAME SECONDS   Nothing if a planned stop of the host has just ended.
  kill -STOP "${pid_of[$1]}" 2>/dev/null || return 0
  sleep "$2"
  kill -CONT "${pid_of[$1]}"
}

# check_running   Fails the test if a host that nobody stopped has ended.
check_running() {
  local name
  for name in "${!pid_of[@]}"; do
    case $name in store-* | entry-*) ;; *) continue ;; esac
    [ -n "${stopping[$name]:-}" ] || kill -0 "${pid_of[$name]}" 2>/dev/null || fail "$name ended by itself"
  done
}

# finish_driver   Waits for the stand-in; fails the test if it found a bound broken.
finish_driver() {
  local status=0
  wait "$driver" || status=$?
  forget_process "$driver"
  cat "$work/driver.txt"
  [ "$status" -eq 0 ] || fail "the stand-in found a bound broken"
}
