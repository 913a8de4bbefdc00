#!/usr/bin/env bash
# The storage host that leads is retired; 1.4 s later all storage processes are killed, and are back within 0.6 s. Some seconds
# after that the configuration changes. Up to six small fleets, one after the other, at other addresses. See claim.txt.
case_folder=review/7
# TROUBLE=0 leaves out the disruption alone.
trouble=${TROUBLE:-1}
source "$(dirname "$0")/../fleet-2.sh"

entries=6

stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  pids=()
  rm -rf "${work:?}"/*
}

# talk_and_chat ROUND   One request to each entry host on the route that was added and on the one that was dropped.
talk_and_chat() {
  local e path
  for ((e = 0; e < entries; e++)); do
    for path in talk chat; do
      call POST "$(callers_of "entry-$e")" "/$path/$1" -H "Host: desk.example" -H "Request-Id: $path-$1-$e" -H "Model: m" \
        -H "Token-Count: 100,40" -H "Prompt-Prefix: 9c2e41:50,a$1$e:50" -H "Deadline-Ms: 5000" -t 5
      echo "$(now_ms) ms  entry-$e /$path/ $status" >>"$record"
      [ $path = talk ] && [ "$status" = 404 ] && refused[$e]=$((${refused[$e]:-0} + 1))
      [ $path = chat ] && [ "$status" = 200 ] && dropped[$e]=$((${dropped[$e]:-0} + 1))
    done
  done
}

play() { # NUMBER   Returns 1 if entry hosts go by the older configuration.
  local leader name round old=0 e
  net=127.$((20 + $1)).7
  note "fleet $1"
  write_configuration 3 yes
  start_fleet 4 $entries
  start_server 1 --events 5 --interval-ms 20
  start_server 2 --events 5 --interval-ms 20
  wait_for 10 servers_known 2 || cannot_run "the servers are not known"
  sleep 1.5
  leader=$(leader_name) || cannot_run "no leader"
  retired() {
    call POST "$(control_of "$leader")" "/persimmonlb/retire/$leader" -d <(echo '{"durationS":8.4}')
    [ "$status" = 200 ]
  }
  wait_for 4 retired || cannot_run "the retirement was not acknowledged"
  note "retire $leader, which leads: $status"
  sleep 1.4
  if [ "$trouble" = 1 ]; then
    for name in store-0 store-1 store-2 store-3; do kill -KILL "${pid_of[$name]}"; done
    for name in store-0 store-1 store-2 store-3; do
      wait "${pid_of[$name]}" 2>/dev/null
      write_node "$name" false
    done
    sleep 0.5
    start_node "$leader"
    sleep 0.1
    for name in store-0 store-1 store-2 store-3; do
      [ "$name" = "$leader" ] || start_node "$name"
    done
    note "all storage processes were killed and are back, with their disks"
  fi
  # connectivityWindowMs is 3 s; nothing else is disturbed.
  sleep 5
  sed -e 's/"version":3/"version":9/' \
    -e 's#"name":"r-chat","host":"desk.example","pathPrefix":"/chat/"#"name":"r-talk","host":"desk.example","pathPrefix":"/talk/"#' \
    "$work/configuration.json" >"$work/next.json"
  wait_for 4 put_configuration "$work/next.json" || cannot_run "configuration 9 was not acknowledged"
  note "configuration 9 is acknowledged: /talk/ is added, /chat/ is dropped"
  # configApplyMs is 2 s.
  sleep 4
  declare -A refused=() dropped=()
  talk_and_chat 0
  if [ $((${#refused[@]} + ${#dropped[@]})) -gt 0 ]; then
    for ((round = 1; round < 10; round++)); do
      sleep 1
      talk_and_chat $round
    done
    for ((e = 0; e < entries; e++)); do
      call GET "$(ip_of "entry-$e"):$metrics_port" /v1/fleet -t 1
      note "entry-$e: /talk/ answered 404 ${refused[$e]:-0} times of 10, the dropped /chat/ run ${dropped[$e]:-0} times; by its own status $(grep -o '"leader_age_ms":[0-9]*\|"parent":"[^"]*"\|"routes_version":[0-9]*' <<<"$answer" | tr '\n' ' ')"
      [ "${refused[$e]:-0}" -ge 5 ] && old=$((old + 1))
    done
  fi
  [ $old -gt 0 ] && broken "$old of $entries entry hosts go by configuration 3 up to 13 s and more after configuration 9 was acknowledged"
  note "all entry hosts go by configuration 9"
}

for fleet in 1 8 7 5 3 2; do
  [ "$(now_ms)" -lt 90000 ] || break
  play $fleet
  stop_fleet
done
note "held in each fleet"
