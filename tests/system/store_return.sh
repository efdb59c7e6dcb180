#!/usr/bin/env bash
# A store that returns to an older copy of itself, twice, with real processes: the
# tables never go back, and a change that is made afterwards is in force at all
# daemons in time, also at one that was killed and one that was suspended
# meanwhile, by few calls to the store.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-30900}"
source scripts/cluster.sh
trap stop_store_return EXIT

daemons="1 2 3 4"
store="$cluster_net.1:$((cluster_port + 100))"
apply_bound_s=2
# Two followers call once in 750 ms each for the tables and for each change, and
# more rarely for the entries and the lease.
most_calls=40

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

stop_store_return() {
  local name
  for name in daemon1 daemon2 daemon3 daemon4 seats store; do
    [ -e "$cluster_dir/$name.pid" ] && stop_process "$name" KILL
  done
}

# Acts on the store as its platform or a writer: set_store PATH [VALUE]
set_store() { curl -sf -X PUT "http://$store/$1" --data-binary "${2:-}" >/dev/null; }
count_calls() { curl -sf "http://$store/calls"; }

# Writes the operator's document, whose only key is "k" and its version:
# put_document VERSION
put_document() {
  set_store rows/op/config "{\"Version\":$1,\"Routes\":[{\"Name\":\"seats\",
    \"Host\":\"h.test\",\"Prefix\":\"/seats/\",\"Kind\":\"idempotent\",
    \"Service\":\"seats\",\"TimeoutMs\":2000,\"TargetLatencyMs\":300,
    \"MaxAttempts\":2}],\"Services\":[{\"Name\":\"seats\"}],
    \"Tenants\":[{\"Name\":\"volta\",\"ApiKeys\":[\"k$1\"]}]}"
}

# Prints the status of a request at a daemon: status_of DAEMON KEY
status_of() {
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: h.test' \
    -H "Authorization: Bearer $2" -H "Attempt-Id: a$RANDOM$RANDOM" \
    -H 'Deadline-Ms: 2000' "http://$(front_of "$1")/seats/x"
}
is_status() { [ "$(status_of "$2" "$3")" = "$1" ]; }
# Checks that the document VERSION decides at all daemons: check_all WHEN VERSION
check_all() {
  local n
  for n in $daemons; do
    is_status 200 "$n" "k$2" || fail "$1: daemon$n does not accept the key of version $2"
    is_status 401 "$n" "k$(($2 - 1))" || fail "$1: daemon$n accepts the key of version $(($2 - 1))"
  done
}

# Lets the store return while one daemon is down and one suspended: lose VERSION,
# the document that is confirmed before and lost
lose() {
  local i
  set_store copy
  for i in $(seq 20); do set_store rows/others/row "$i"; done
  put_document "$1"
  sleep "$apply_bound_s"
  check_all "before the return" "$1"
  set_store fault silent
  stop_process daemon3 KILL
  kill -STOP "$(pid_of daemon4)"
  sleep 0.5
  set_store return
  set_store fault none
  sleep 0.3
  put_document "$1"
  start_relay 3
  kill -CONT "$(pid_of daemon4)"
}

start_process store "$cluster_bin/standins/fake_row_store" --listen "$store"
wait_until curl -sf "http://$store/rows/op/config" || fail "no store"
put_document 3
start_process seats "$cluster_bin/standins/fake_layered_worker" \
  --listen "$cluster_net.1:$((cluster_port + 201))" --store "$store" \
  --name seats --pool seats --data-centre accra-a --slots 8
for n in $daemons; do start_relay "$n"; done
for n in $daemons; do
  wait_until is_status 200 "$n" k3 || fail "daemon$n does not serve"
done

for version in 5 7; do
  lose "$version"
  sleep 3
  check_all "after the return" "$version"
  before="$(count_calls)"
  put_document "$((version + 1))"
  sleep "$apply_bound_s"
  check_all "after a change" "$((version + 1))"
  calls=$(($(count_calls) - before))
  [ "$calls" -le "$most_calls" ] || fail "$calls calls to the store in $apply_bound_s s"
done
echo "the tables held over two returns of the store, $calls calls in $apply_bound_s s"
