# Set-up of a process test: expects the folder of the programs as its first argument.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=$(cd "$1" && pwd)
work=$(mktemp -d "${TMPDIR:-/tmp}/persimmonlb-test.XXXXXX")
# shellcheck source=scripts/lib/cluster.sh
source scripts/lib/cluster.sh
trap 'stop_seconds=3 stop_all; [ "${keep:-}" ] || rm -rf "$work"' EXIT

fail() {
  echo "FAILED: $*"
  for log in "$work"/*.log; do
    echo "--- ${log##*/}"
    tail -n 15 "$log"
  done
  exit 1
}

# start_system N   N hosts, the control group and examples/sheet.toml in force.
start_system() {
  write_keys
  plan_hosts "$1"
  start_group "$1" || fail "start of the control group"
  wait_for "$start_patience" ctl sheet apply examples/sheet.toml || fail "sheet apply"
  wait_for "$start_patience" sheet_in_force || fail "sheet in force"
}

# check_results FILE COUNT   Every item of a job has exactly one result.
check_results() {
  local lines ids
  lines=$(wc -l <"$1")
  ids=$(grep -o '"custom_id":"[^"]*"' "$1" | sort -u | wc -l)
  [ "$lines" -eq "$2" ] || fail "$lines results instead of $2"
  [ "$ids" -eq "$2" ] || fail "$ids different items have results instead of $2"
}
