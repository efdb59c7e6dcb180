#!/usr/bin/env bash
# An upstream that is leaving, as reported by the platform's list or by its own
# health answer, must get no new work from two seconds after the first sign on,
# and an older list must not bring it back.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-27620}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

now_ms() { date +%s%3N; }
# Sets the state of engine 1 in the list of instances: list_engine1 STATE
list_engine1() {
  curl -sf -X PUT "http://$platform_address/instances" -d "{\"instances\":[
    {\"role\":\"upstream\",\"name\":\"engine1\",\"state\":\"$1\"}]}"
}
set_platform_faults() {
  curl -sf -X PUT -d "$1" "http://$platform_address/faults"
}
# Prints how often daemon N logged EVENT of UPSTREAM:
# count_logged N EVENT UPSTREAM
count_logged() { grep -c "event=$2 .*upstream=$3\$" "$cluster_dir/daemon$1.log"; }
# Checks that all daemons logged EVENT of UPSTREAM at least COUNT times:
# all_logged EVENT UPSTREAM COUNT
all_logged() {
  local n
  for n in 1 2 3 4; do
    [ "$(count_logged "$n" "$1" "$2")" -ge "$3" ] || return 1
  done
}
# Prints how often the list of instances was read.
list_reads() {
  curl -s "http://$platform_address/stats" | sed -n 's/^instance_reads //p'
}
# Checks that the list was read COUNT times in all; 16 more reads mean that each
# daemon read it more than twice.
old_list_read() { [ "$(list_reads)" -ge "$1" ]; }
# Prints how many tokens engine N has run.
tokens_of() { curl -s "http://$(engine_of "$1")/stats" | sed -n 's/^tokens //p'; }
# Sends two requests to each daemon; each must succeed.
send_requests() {
  local n
  for n in 1 2 3 4 1 2 3 4; do
    curl -sf -H 'Wisteriayoke-Workspace: volta' \
      -d '{"model":"summary-7b","prompt":"seats","max_tokens":3}' \
      "http://$(front_of "$n")/v1/completions" >/dev/null ||
      fail "a request to daemon$n failed"
  done
}
# Checks that engine N gets no new work.
check_unused() {
  local before
  before="$(tokens_of "$1")"
  send_requests
  [ "$(tokens_of "$1")" = "$before" ] || fail "engine$1 got new work"
}

start_cluster || fail "start"
list_engine1 live || fail "list"
listed="$(now_ms)"
send_requests
[ "$(tokens_of 1)" -gt 0 ] || fail "engine1 is not in use"

listed_live_ms=$(($(now_ms) - listed))
list_engine1 leaving || fail "list"
signed="$(now_ms)"
wait_until all_logged upstream-leaving engine1 1 || fail "not all daemons logged that engine1 is leaving"
elapsed=$(($(now_ms) - signed))
echo "metric=leaving_by_list=$elapsed ms"
[ "$elapsed" -le 2000 ] || fail "leaving by the list detected after $elapsed ms"
check_unused 1

set_platform_faults "{\"instances_lag_ms\":$(($(now_ms) - signed + listed_live_ms / 2))}"
curl -s "http://$platform_address/instances" | grep -q live || fail "the platform does not return the old list"
wait_until old_list_read $(($(list_reads) + 16)) || fail "the daemons did not read the old list"
check_unused 1
[ "$(count_logged 1 upstream-returned engine1)" = 0 ] || fail "an old list brought engine1 back"

set_platform_faults '{}'
list_engine1 live || fail "list"
wait_until all_logged upstream-returned engine1 1 || fail "engine1 is not in use again"

curl -sf -d '{"leaving":1}' "http://$(engine_of 3)/faults" >/dev/null
signed="$(now_ms)"
wait_until all_logged upstream-leaving engine3 1 || fail "not all daemons logged that engine3 is leaving"
elapsed=$(($(now_ms) - signed))
echo "metric=leaving_by_own_word=$elapsed ms"
[ "$elapsed" -le 2000 ] || fail "leaving by its own answer detected after $elapsed ms"
check_unused 3
