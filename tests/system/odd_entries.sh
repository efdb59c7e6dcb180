#!/usr/bin/env bash
# Entries of other writers in the lists of a store that returns a few rows a page,
# with real processes: whichever way the daemons read them, all sound upstreams
# serve, each odd entry costs one warning at each daemon, and the calls to the
# store stay few.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-29900}"
source scripts/cluster.sh
trap stop_odd_entries EXIT

daemons="1 2 3"
workers="w1 w10 w2 w3"
store="$cluster_net.1:$((cluster_port + 100))"
ctl="$cluster_bin/ctl/wisteriayokectl"

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

stop_odd_entries() {
  local name
  for name in daemon1 daemon2 daemon3 $workers store; do
    [ -e "$cluster_dir/$name.pid" ] && stop_process "$name"
  done
}

# Acts on the store as its platform or a writer: set_store PATH VALUE
set_store() { curl -sf -X PUT "http://$store/$1" --data-binary "$2" >/dev/null; }
drop_entry() { curl -sf -X DELETE "http://$store/rows/servers/$1" >/dev/null; }

# Prints an entry like those of the sound upstreams, with ADDRESS: entry ADDRESS
entry() {
  printf '{"Service":"seats","Zone":"accra-a","Slots":8,"State":"ready","Address":"%s"}' "$1"
}

start_worker() {
  start_process "$1" "$cluster_bin/standins/fake_layered_worker" \
    --listen "$cluster_net.1:$((cluster_port + 200 + $2))" --store "$store" \
    --name "$1" --pool seats --data-centre accra-a --slots 8
}

restart_daemons() {
  local n
  for n in $daemons; do
    [ -e "$cluster_dir/daemon$n.pid" ] && stop_process "daemon$n" KILL
  done
  for n in $daemons; do start_relay "$n"; done
}

# Prints the status of a request at daemon N: status_of N
status_of() {
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: h.test' \
    -H "Attempt-Id: a$RANDOM$RANDOM" -H 'Deadline-Ms: 2000' \
    "http://$(front_of "$1")/seats/x"
}
serves() { [ "$(status_of "$1")" = 200 ]; }
# Checks that daemon N uses just the sound upstreams: knows_all N
knows_all() {
  local names
  names="$(curl -sf "http://$(operators_of "$1")/metrics" |
    sed -n 's/^wisteriayoke_relay_upstreams{pool="seats",health="healthy"} //p')"
  [ "$names" = 4 ]
}
# Checks that all daemons serve with the sound upstreams: check_service WHEN
check_service() {
  local n try
  for n in $daemons; do
    wait_until serves "$n" || fail "$1: daemon$n does not serve"
    wait_until knows_all "$n" || fail "$1: daemon$n does not use all sound upstreams"
    for try in 1 2 3 4; do
      serves "$n" || fail "$1: request $try at daemon$n failed"
    done
  done
}
# Checks that each daemon logged one warning for each of COUNT entries:
# check_warnings WHEN COUNT
check_warnings() {
  local n count
  for n in $daemons; do
    count="$(grep -ac 'event=entry-refused' "$cluster_dir/daemon$n.log")"
    [ "$count" = "$2" ] || fail "$1: daemon$n logged $count refused entries, not $2"
    if LC_ALL=C grep -aq '[^ -~]' "$cluster_dir/daemon$n.log"; then
      fail "$1: the log of daemon$n has control characters"
    fi
  done
}

start_process store "$cluster_bin/standins/fake_row_store" --listen "$store"
wait_until curl -sf "http://$store/rows/op/config" || fail "no store"
set_store rows/op/config '{"Version":3,"Routes":[{"Name":"seats",
  "Host":"h.test","Prefix":"/seats/","Kind":"idempotent","Service":"seats",
  "TimeoutMs":2000,"TargetLatencyMs":300,"MaxAttempts":2,
  "AllowAnonymous":true}],"Services":[{"Name":"seats"}]}'
# Rows of other use beside the operator's document.
set_store rows/op/con%20f%26%23 'no document'
set_store rows/op/config%0D%0A 'no document'
set_store page-rows 2
number=0
for name in $workers; do
  number=$((number + 1))
  start_worker "$name" "$number"
done

# Sound names end in 1 to 3, so that a name after "w1" ends the first page, one
# after "w2" is inside a page, and one after "w3" ends the list.
long="$(printf 'x%.0s' $(seq 1 198))"
for after in w1 w2 w3; do
  for ending in %20 %26From=zz %2B %23 %25 %0D%0AA:%20b %00 %22 %2F..%2F; do
    set_store "rows/servers/$after$ending" 'no entry'
    restart_daemons
    check_service "$after$ending"
    check_warnings "$after$ending" 1
    drop_entry "$after$ending"
  done
  set_store "rows/servers/$after$long" 'no entry'
  restart_daemons
  check_service "a name of 200 bytes"
  drop_entry "$after$long"
done

# Many odd entries at once, of which no two have the same defect.
odd=0
add_odd() {
  odd=$((odd + 1))
  set_store "rows/servers/w$1" "$2"
}
add_odd 1%20%26 '[]'
add_odd 1%0D%0AA:%20b "$(entry 127.0.0.1:1)"
add_odd 1%00 "$(entry 127.0.0.1:1)"
add_odd 2%23 '{}'
add_odd 2%22 '{"Service":7}'
add_odd 20 "$(entry nowhere)"
add_odd 21 "$(entry 127.0.0.1:0)"
add_odd 22 "$(entry '127.0.0.1\u0000\r\nA: b:80')"
add_odd 3%2B ''
add_odd "3$long" 'no entry'
restart_daemons
check_service "at a start"
check_warnings "at a start" "$odd"

# The store goes away right after a start, and daemons then learn from peers.
restart_daemons
check_service "before an outage"
set_store fault silent
stop_process daemon3 KILL
start_relay 3
check_service "without the store"
set_store fault none
check_service "after an outage"

# An odd entry arrives over the feed; the store discards its history.
add_odd 1%2B%2B 'no entry'
set_store fault forgetting
add_odd 4%0A 'no entry'
sleep 0.5
check_service "after the store discarded its history"
check_warnings "over the feed" "$odd"

# In calm the odd entries need no calls.
before="$(curl -sf "http://$store/calls")"
sleep 2
calls=$(($(curl -sf "http://$store/calls") - before))
echo "metric=calls_in_calm=$calls in 2 s"
[ "$calls" -le 20 ] || fail "$calls calls to the store in two seconds of calm"

# The tool shows each event in a line of its own, and all of them.
"$ctl" timeline --limit 1000 --daemons "$(operators_of 1)" >"$cluster_dir/timeline" ||
  fail "no time line"
[ "$(grep -ac '^20[0-9-]*T.* entry-refused ' "$cluster_dir/timeline")" = "$odd" ] ||
  fail "the time line lacks refused entries"
if grep -avq '^20[0-9-]*T' "$cluster_dir/timeline"; then
  fail "a name added a line to the time line"
fi
