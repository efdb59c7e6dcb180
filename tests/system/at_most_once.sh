#!/usr/bin/env bash
# Holds run at most once with real processes, and callers get the true outcome:
# after resends, a killed daemon, closed connections, and a store that is down,
# slow or loses answers.
export CLUSTER_PORT="${CLUSTER_PORT:-28000}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Sends a hold: hold DAEMON KEY BODY [curl arguments...]. Stores the answer in
# $outcome, $code, $replayed and $body.
hold() {
  local answer
  answer="$(curl -s -i -m 10 -H 'Wisteriayoke-Workspace: volta' \
    -H "Idempotency-Key: $2" -d "$3" "${@:4}" \
    "http://$(front_of "$1")/booking/holds" | tr -d '\r')"
  outcome="$(sed -n 's/^Wisteriayoke-Outcome: //p' <<<"$answer")"
  code="$(sed -n 's/^Wisteriayoke-Code: //p' <<<"$answer")"
  replayed="$(sed -n 's/^Wisteriayoke-Replayed: //p' <<<"$answer")"
  body="$(sed '1,/^$/d' <<<"$answer")"
}

# Prints how often the service ran the hold with BODY.
runs_of() { curl -s "http://$service_address/runs?$1"; }
ran_once() { [ "$(runs_of "$1")" = 1 ]; }
set_faults() { curl -sf -X PUT -d "$1" "http://$platform_address/faults"; }

# Sends a hold and checks that its outcome is done: done_at DAEMON KEY BODY
done_at() {
  hold "$@"
  [ "$outcome" = done ]
}

# Checks the last hold: expect OUTCOME/CODE BODY DESCRIPTION RUNS
expect() {
  [ "$outcome/$code" = "$1" ] || fail "$3: $outcome/$code, not $1: $body"
  [ "$(runs_of "$2")" = "$4" ] || fail "$3: $2 ran $(runs_of "$2") times"
}

start_cluster || fail "start"

hold 1 twice seat=1
expect done/0 seat=1 "first send" 1
first="$body"
for daemon in 1 2 3 4; do
  hold $daemon twice seat=1
  expect done/0 seat=1 "resend to daemon$daemon" 1
  [ "$body" = "$first" ] && [ "$replayed" = true ] ||
    fail "the resend to daemon$daemon got $body, not $first"
done
hold 2 twice seat=other
expect not-run/113 seat=other "key with another body" 0
hold 2 'two words' seat=2
expect not-run/108 seat=2 "invalid key" 0

hold 1 cut-after seat=3 -H 'Fake-Fault: cut-after'
expect unknown/301 seat=3 "connection closed after the run" 1
hold 3 cut-after seat=3
expect unknown/305 seat=3 "resend after the closed connection" 1
hold 2 cut-before seat=4 -H 'Fake-Fault: cut-before'
expect unknown/301 seat=4 "connection closed before the run" 0

set_faults '{"lose_answers":1}'
hold 4 lost-answer seat=5
expect done/0 seat=5 "claim whose answer was lost" 1

set_faults '{"outage":"refuse"}'
hold 3 outage seat=6
expect not-run/208 seat=6 "first hold of an outage" 0
for try in 1 2 3; do hold 3 "outage$try" "seat=6$try"; done
expect not-run/204 seat=63 "hold while the breaker is open" 0
hold 3 outage-send2 seat=64 -H 'Wisteriayoke-Send: 2'
expect unknown/301 seat=64 "numbered resend while the breaker is open" 0
curl -sf -H 'Wisteriayoke-Workspace: volta' -d '{"prompt":"s","max_tokens":2}' \
  "http://$(front_of 3)/v1/completions" >/dev/null ||
  fail "model work stopped with the store"
set_faults '{}'
wait_until done_at 3 outage seat=6 || fail "no hold after the outage"
expect done/0 seat=6 "hold after the outage" 1

set_faults '{"delay_ms":1500}'
hold 4 late seat=7
expect not-run/208 seat=7 "claim written after the daemon gave up on it" 0
set_faults '{}'
wait_until done_at 1 late seat=7 || fail "the abandoned claim wasn't released"
expect done/0 seat=7 "send after the abandoned claim" 1
for daemon in 2 3; do
  wait_until done_at $daemon late seat=7 ||
    fail "daemon$daemon cannot read the ledger"
done

hold 2 killed seat=8 -H 'Fake-Fault: answer-late' -H 'Fake-Delay-Ms: 3000' &
caller=$!
wait_until ran_once seat=8 || fail "the hold of seat=8 did not run"
hold 1 killed seat=8
expect unknown/305 seat=8 "resend while the first send is under way" 1
stop_process daemon2 KILL
wait "$caller"
hold 3 killed seat=8
expect unknown/305 seat=8 "resend after the owner was killed" 1

for daemon in 1 3 4; do
  grep -q invariant-broken "$cluster_dir/daemon$daemon.log" &&
    fail "daemon$daemon broke an invariant"
done
exit 0
