#!/usr/bin/env bash
# A storage host is retired while it leads, and the store that joins for it loses its disk. Ten seconds after it is back,
# another storage host loses its disk. See claim.txt.
case_folder=review/6
# TROUBLE=0 leaves out the disruption alone.
trouble=${TROUBLE:-1}
source "$(dirname "$0")/../fleet-2.sh"

write_configuration 3 yes
start_fleet 4 2
start_server 1 --events 20 --interval-ms 20
start_server 2 --events 20 --interval-ms 20
wait_for 10 servers_known 2 || cannot_run "the servers are not known"
write_job "$work/job.json" done 4
submit_job entry-0 job-done "$work/job.json" || cannot_run "the job was not accepted"
all_completed() { read_job entry-1 job-done && [ "$(listed completed)" = 4 ]; }
wait_for 15 all_completed || cannot_run "the job was not completed"
first_results=$answer
note "job-done is read through entry-1: $status, 4 results completed"
sleep 2

leader=$(leader_name) || cannot_run "no leader"
[ "$leader" != store-3 ] || cannot_run "the spare store leads"
call POST "$(control_of "$leader")" "/persimmonlb/retire/$leader" -d <(echo '{"durationS":8.4}')
note "retire $leader, which leads: $status"
[ "$status" = 200 ] || cannot_run "the retirement was not acknowledged"
if [ "$trouble" = 1 ]; then
  sleep 0.3
  lose_disk store-3
fi
write_job "$work/open.json" open 4
submit_open() { submit_job entry-1 job-open "$work/open.json"; }
wait_for 5 submit_open || cannot_run "no job is accepted after the first loss"

# One disk at most is lost at a time: store-3 has been back for more than twice catchUpS (4.5 s).
sleep 10
call GET "$(control_of store-1)" "/persimmonlb/retire/$leader"
[ "$status" = 307 ] && call GET "$(control_of "$(leader_name)")" "/persimmonlb/retire/$leader"
note "state of the retirement: $status $answer"
if [ "$trouble" = 1 ]; then
  for second in store-0 store-1 store-2; do
    [ "$second" != "$leader" ] && [ "$second" != "$(leader_name)" ] && break
  done
  lose_disk "$second"
fi

# recoveryS is 12 s; the read-back goes on for 15 s after it.
sleep 12
note "read-back begins"
configuration=no old=no new=no
end=$(($(now_ms) + 15000))
while [ "$(now_ms)" -lt "$end" ] && [ "$configuration$old$new" != yesyesyes ]; do
  for ((i = 0; i < store_count; i++)); do
    call GET "$(control_of "store-$i")" /persimmonlb/configuration -t 1
    [ "$status" = 200 ] && grep -q '"version":3' <<<"$answer" && configuration=yes
    last_configuration=$status
  done
  for entry in entry-0 entry-1; do
    read_job $entry job-done
    last_old=$status
    [ "$status" = 200 ] && [ "$answer" = "$first_results" ] && old=yes
    read_job $entry job-open
    last_new=$status
    [ "$status" = 200 ] && new=yes
  done
  sleep 0.3
done
note "configuration read back: $configuration (last $last_configuration); job-done: $old (last $last_old); job-open: $new (last $last_new)"
[ "$configuration$old$new" = yesyesyes ] || broken "what was acknowledged can't be read any more"
note "held: everything that was acknowledged is read back"
