# Functions of the scripts review/6 to review/10: a small fleet of the project's own processes on loopback addresses, with the
# stand-in of review/standin-2. Source it after setting `case_folder` and `trouble`. Settings have the keys of deploy/settings.toml.in.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.."
node=$PWD/target/bin/persimmonlb-node
standin=$PWD/target/review-2/standin
[ -x "$node" ] && [ -x "$standin" ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
record=$PWD/$case_folder/record.txt
: >"$record"
work=$(mktemp -d "${TMPDIR:-/tmp}/persimmonlb-review.XXXXXX")
declare -A pid_of=()
pids=()
begun=$(date +%s%N)
mesh_port=7660 caller_port=8144 readiness_port=8140 control_port=8146 directory_port=8143 metrics_port=9464 server_port=8660
store_count=3

now_ms() { echo $((($(date +%s%N) - begun) / 1000000)); }
note() { echo "$(now_ms) ms  $*" | tee -a "$record"; }
cannot_run() { note "the case could not run: $*"; exit 2; }
broken() { note "BROKEN: $*"; exit 1; }

# Ends all processes that were started here, by their ids.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  [ -n "${KEEP:-}" ] && echo "logs: $work" || rm -rf "$work"
}
trap stop_all EXIT

# A /24 network of 127.0.0.0/8 in which no address that is used here answers on its first port.
while :; do
  net=127.$((16 + RANDOM % 80)).$((1 + RANDOM % 250))
  (exec 3<>"/dev/tcp/$net.10/$mesh_port") 2>/dev/null || break
done

ip_of() {
  local number=${1##*-}
  case $1 in
    store-*) echo "$net.$((10 + number))" ;;
    entry-*) echo "$net.$((100 + number))" ;;
    server-*) echo "$net.$((200 + number))" ;;
  esac
}

# write_node NAME MAY_FORM   Settings of a host; the seeds are the first three storage hosts.
write_node() {
  local name=$1 ip takes=false stores=false
  ip=$(ip_of "$name")
  case $name in store-*) stores=true ;; *) takes=true ;; esac
  mkdir -p "$work/$name/data"
  cat >"$work/$name/settings.toml" <<END
[host]
ip = "$ip"
name = "$name"
region = "region-1"
availability_zone = "zone-$((${name##*-} % 3))"
takes_callers = $takes
stores = $stores
data_folder = "$work/$name/data"
descriptors = 4100

[listen]
callers = "$([ $takes = true ] && echo "$ip:$caller_port")"
directory = "$([ $takes = true ] && echo "$ip:$directory_port")"
readiness = "$([ $takes = true ] && echo "$ip:$readiness_port")"
control = "$([ $stores = true ] && echo "$ip:$control_port")"
metrics = "$ip:$metrics_port"

[mesh]
port = $mesh_port
key = "persimmonlb fleet"

[fleet]
seeds = ["$net.10:$control_port", "$net.11:$control_port", "$net.12:$control_port"]
may_form = $2
losses_borne = 1
answer_ttl_ms = 2000
stop_grace_s = 8
results_kept_s = 120

[customers]
fail_closed = false

[log]
level = "info"
END
}

launch() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}
start_node() { launch "$1" "$node" --settings "$work/$1/settings.toml"; }
kill_node() {
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
}

# lose_disk NAME   The host loses power and its disk; it is back a second later, empty, at its old address.
lose_disk() {
  kill_node "$1"
  rm -rf "$work/$1/data"
  write_node "$1" false
  note "$1 is down and has lost its disk"
  sleep 1
  start_node "$1"
  note "$1 is back with an empty data folder and may_form = false"
}

# call METHOD IP:PORT TARGET OPTION...   One call on a new connection: sets `status` and `answer`.
call() {
  local output
  output=$("$standin" call "$@" 2>/dev/null)
  status=${output%%$'\n'*}
  answer=${output#*$'\n'}
}

control_of() { echo "$(ip_of "$1"):$control_port"; }
callers_of() { echo "$(ip_of "$1"):$caller_port"; }
controls() {
  local i list=
  for ((i = 0; i < store_count; i++)); do list+="${list:+,}$net.$((10 + i)):$control_port"; done
  echo "$list"
}

# wait_for SECONDS COMMAND...
wait_for() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# put_configuration FILE   True once a storage host acknowledges it.
put_configuration() {
  local i
  for ((i = 0; i < store_count; i++)); do
    call PUT "$(control_of "store-$i")" /persimmonlb/configuration -d "$1" -t 2
    [ "$status" = 200 ] && return 0
  done
  return 1
}
is_ready() {
  call GET "$(ip_of "$1"):$readiness_port" /persimmonlb/readiness -t 1
  [ "$status" = 200 ]
}

# leader_name   The storage host that leads, as the storage hosts' own status says.
leader_name() {
  local i found
  for ((i = 0; i < store_count; i++)); do
    call GET "$(ip_of "store-$i"):$metrics_port" /v1/fleet -t 1
    found=$(grep -o '"leader":"[^"]*"' <<<"$answer" | head -n 1 | cut -d'"' -f4)
    if [ -n "$found" ]; then
      echo "store-$((${found##*.} - 10))"
      return 0
    fi
  done
  return 1
}

# start_fleet STORES ENTRIES   Starts the hosts and puts $work/configuration.json in force.
start_fleet() {
  local i
  store_count=$1
  for ((i = 0; i < $1; i++)); do
    write_node "store-$i" true
    start_node "store-$i"
  done
  for ((i = 0; i < $2; i++)); do
    write_node "entry-$i" true
    start_node "entry-$i"
  done
  wait_for 15 put_configuration "$work/configuration.json" || cannot_run "no configuration was acknowledged"
  for ((i = 0; i < $2; i++)); do
    wait_for 15 is_ready "entry-$i" || cannot_run "entry-$i is not ready"
  done
  note "$1 storage hosts and $2 entry hosts run; the configuration is acknowledged"
}

# start_server NUMBER OPTION...   Starts a model server of the service llm.
start_server() {
  local number=$1
  shift
  launch "server-$number" "$standin" engine --listen "$(ip_of "server-$number"):$server_port" --id "i-$number" \
    --service llm --zone "zone-$((number % 3))" --controls "$(controls)" --record "$work/runs.txt" "$@"
}
servers_known() {
  call GET "$(ip_of "entry-0"):$metrics_port" /v1/fleet -t 1
  [ "$(grep -o '"service":"llm"' <<<"$answer" | wc -l)" -ge "$1" ]
}

# write_configuration VERSION WITH_BATCH_ROUTE   A streaming route and, unless it is "no", the batch route.
write_configuration() {
  local batch='{"name":"r-batch","host":"desk.example","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"llm","maxAttempts":3,"sessionAffinity":true,"resumable":true,"gapAimMs":250,"completionTargetMs":18000,"maxQueueS":60,"cap":1600000},'
  [ "$2" = no ] && batch=
  cat >"$work/configuration.json" <<END
{"version":$1,"routes":[$batch{"name":"r-chat","host":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"llm","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapAimMs":250}],"services":[{"name":"llm","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCacheTokens":72000,"kvTokenBytes":35136,"linkMbps":740000.0,"moves":false,"backups":false,"stride":8,"cap":12,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
END
}

# write_job FILE NAME ITEMS
write_job() {
  local i items=
  for ((i = 1; i <= $3; i++)); do
    items+="${items:+,}{\"id\":\"$2-$i\",\"path\":\"/batch/1/$i\",\"headers\":{\"Model\":\"m\",\"Token-Count\":\"540,400\",\"Prompt-Prefix\":\"9c2e41:300,5d07b8$i:240\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":940}"
  done
  echo "{\"requests\":[$items]}" >"$1"
}

# submit_job ENTRY NAME FILE
submit_job() {
  call POST "$(callers_of "$1")" /batch/7c41e0 -H "Host: desk.example" -H "Request-Id: $2" -d "$3"
  note "batch job $2 is sent to $1: $status"
  [ "$status" = 202 ]
}

# read_job ENTRY NAME   Sets `status` and `answer`.
read_job() {
  call GET "$(callers_of "$1")" "/persimmonlb/lots/$2?after=0" -H "Host: desk.example"
}
listed() { # How many results of a state `answer` holds.
  grep -o "\"state\":\"$1\"" <<<"$answer" | wc -l
}
