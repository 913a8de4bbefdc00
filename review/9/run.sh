#!/usr/bin/env bash
# Thirty batch jobs of ten items come within some seconds; one item in twenty is larger than the memory of any server. See
# claim.txt.
case_folder=review/9
# TROUBLE=0 leaves out the disruption alone.
trouble=${TROUBLE:-1}
source "$(dirname "$0")/../fleet-2.sh"
source review/batchcheck-2.sh

jobs=30 items_per_job=10 servers=3 slots=8
write_configuration 3 yes
start_fleet 3 2
for ((i = 1; i <= servers; i++)); do
  start_server $i --slots $slots --memory-tokens 72000 --events 40 --interval-ms 25
done
wait_for 10 servers_known $servers || cannot_run "the servers are not known"

# Each item of the second job asks for 80,000 tokens; the servers' memory is 72,000.
can_never_be_done() { [ "$trouble" = 1 ] && [ "$1" = 2 ]; }
for ((j = 1; j <= jobs; j++)); do
  write_job "$work/job-$j.json" "job-$j" $items_per_job
  can_never_be_done $j 7 && sed -i -E \
    's#(/batch/1/[0-9]+","headers":\{"Model":"m","Token-Count":")540,400(","Prompt-Prefix":")[^"]*("\},"body":"[^"]*","tokens":)940#\170000,10000\29c2e41:30000,5d07b87:40000\380000#g' \
    "$work/job-$j.json"
done
for ((j = 1; j <= jobs; j++)); do
  submit_job "entry-$((j % 2))" "job-$j" "$work/job-$j.json" || cannot_run "job-$j was not accepted"
  sleep 0.06
done
note "all $jobs jobs are accepted; no more traffic comes"
# finishS is 18 s. The check comes later than that, and before maxQueueS (60 s).
wait_and_check 40
