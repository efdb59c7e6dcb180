#!/usr/bin/env bash
# An upstream that is leaving, by the platform's list or by its own word, must
# get no new work within two seconds of the first sign, and an older list must
# not bring it back.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-27620}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

now_ms() { date +%s%3N; }
# Lists engine 1 with the state given.
list_engine1() {
  curl -sf -X PUT "http://$platform_address/instances" -d "{\"instances\":[
    {\"role\":\"upstream\",\"name\":\"engine1\",\"state\":\"$1\"}]}"
}
set_platform_faults() {
  curl -sf -X PUT -d "$1" "http://$platform_address/faults"
}
count_noted() { grep -c "event=$2 .*upstream=$3\$" "$cluster_dir/daemon$1.log"; }
# Tells whether all daemons noted EVENT of UPSTREAM at least COUNT times.
all_noted() {
  local n
  for n in 1 2 3 4; do
    [ "$(count_noted "$n" "$1" "$2")" -ge "$3" ] || return 1
  done
}
list_reads() {
  curl -s "http://$platform_address/stats" | sed -n 's/^instance_reads //p'
}
# Tells whether the list was read COUNT times; 16 is more than twice by each.
old_list_read() { [ "$(list_reads)" -ge "$1" ]; }
tokens_of() { curl -s "http://$(engine_of "$1")/stats" | sed -n 's/^tokens //p'; }
# Sends two requests to each daemon.
send_requests() {
  local n
  for n in 1 2 3 4 1 2 3 4; do
    curl -sf -H 'Wisteriayoke-Workspace: volta' \
      -d '{"model":"summary-7b","prompt":"seats","max_tokens":3}' \
      "http://$(front_of "$n")/v1/completions" >/dev/null ||
      fail "a request to daemon$n failed"
  done
}
# Checks that requests leave engine N alone.
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
wait_until all_noted upstream-leaving engine1 1 || fail "the list went unseen"
elapsed=$(($(now_ms) - signed))
echo "metric=leaving_by_list=$elapsed ms"
[ "$elapsed" -le 2000 ] || fail "seen after $elapsed ms"
check_unused 1

set_platform_faults "{\"instances_lag_ms\":$(($(now_ms) - signed + listed_live_ms / 2))}"
curl -s "http://$platform_address/instances" | grep -q live || fail "no old list"
wait_until old_list_read $(($(list_reads) + 16)) || fail "nobody read the list"
check_unused 1
[ "$(count_noted 1 upstream-returned engine1)" = 0 ] || fail "an old list won"

set_platform_faults '{}'
list_engine1 live || fail "list"
wait_until all_noted upstream-returned engine1 1 || fail "engine1 is not back"

curl -sf -d '{"leaving":1}' "http://$(engine_of 3)/faults" >/dev/null
signed="$(now_ms)"
wait_until all_noted upstream-leaving engine3 1 || fail "the word went unheard"
elapsed=$(($(now_ms) - signed))
echo "metric=leaving_by_own_word=$elapsed ms"
[ "$elapsed" -le 2000 ] || fail "heard after $elapsed ms"
check_unused 3
