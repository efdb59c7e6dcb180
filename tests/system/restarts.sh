#!/usr/bin/env bash
# Each child of the supervisor tree is restarted while requests are in flight: the
# requests finish whole, and the child runs again with its state. A planned stop
# waits for the requests of a replaced front end. A root that gives up logs the
# reason.
export CLUSTER_PORT="${CLUSTER_PORT:-31000}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Streams TOKENS tokens from daemon 1 in the background into FILE: start_stream
# TOKENS FILE
start_stream() {
  curl -sN -H 'Wisteriayoke-Workspace: volta' \
    -d "{\"model\":\"summary-7b\",\"prompt\":\"x\",\"max_tokens\":$1,\"stream\":true}" \
    "http://$(front_of 1)/v1/completions" >"$cluster_dir/$2" &
  stream=$!
  wait_until grep -q x0 "$cluster_dir/$2" || fail "stream $2 did not start"
}

# Checks that the stream in FILE has TOKENS tokens in order and its end:
# check_stream TOKENS FILE
check_stream() {
  local tokens
  tokens="$(grep -o '"text":"x[0-9]* "' "$cluster_dir/$2" | tr -dc '0-9\n')"
  [ "$tokens" = "$(seq 0 $(($1 - 1)))" ] || fail "stream $2 is not whole"
  grep -q 'DONE' "$cluster_dir/$2" || fail "stream $2 has no end"
}

# Checks that CHILD of daemon 1 runs after one restart.
is_restarted() {
  curl -sf "http://$(operators_of 1)/status" |
    grep -qF "{\"path\":\"$1\",\"running\":true,\"restarts\":1}"
}

is_serving() {
  curl -sf -H 'Wisteriayoke-Workspace: volta' \
    "http://$(front_of 1)/booking/seats"
}

start_cluster || fail "start"

start_stream 1200 all
children=(table-service tables upstreams/assistant/engine1 upstreams/assistant
  upstreams/booking/service1 upstreams/booking upstreams front operators)
for extra in peers placement; do
  curl -sf "http://$(operators_of 1)/status" |
    grep -qF "{\"path\":\"$extra\"," && children+=("$extra")
done
for child in "${children[@]}"; do
  curl -sf -X POST "http://$(operators_of 1)/children/$child/restart" \
    >/dev/null || fail "restart of $child was refused"
  wait_until is_restarted "$child" || fail "$child does not run again"
  curl -sf "http://$(front_of 1)/readyz" >/dev/null || fail "daemon1 is not ready after the restart of $child"
  is_serving >/dev/null || fail "daemon1 does not serve after the restart of $child"
done
kill -0 "$stream" 2>/dev/null || fail "the stream ended before the restarts did"
wait "$stream" || fail "the stream broke"
check_stream 1200 all

start_stream 300 replaced
curl -sf -X POST "http://$(operators_of 1)/children/front/restart" >/dev/null
stop_process daemon1 || fail "a planned stop ended with status $?"
wait "$stream" || fail "a planned stop terminated a request of the replaced front end"
check_stream 300 replaced

for _ in 1 2 3 4 5 6; do
  curl -s -X POST "http://$(operators_of 2)/children/table-service/restart" >/dev/null
done
wait "$(pid_of daemon2)"
[ $? = 7 ] || fail "a root that gave up did not exit with 7"
grep -q 'event=ended code=705 .*child .*table-service' "$cluster_dir/daemon2.log" ||
  fail "the log does not give the reason for the exit"
