#!/usr/bin/env bash
# One of four daemons is killed: the others must keep serving and detect its death
# within a second. After its restart they must list it as alive again.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-27310}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

now_ms() { date +%s%3N; }
# Prints how often daemon N logged STATUS of daemon 2: count_logged N STATUS
count_logged() { grep -c "member=daemon2 status=$2 " "$cluster_dir/daemon$1.log"; }
# Checks that the other daemons logged STATUS at least COUNT times:
# all_logged STATUS COUNT
all_logged() {
  local n
  for n in 1 3 4; do [ "$(count_logged "$n" "$1")" -ge "$2" ] || return 1; done
}
serves() {
  curl -sf -H 'Wisteriayoke-Workspace: volta' \
    -d '{"model":"summary-7b","prompt":"seats","max_tokens":3}' \
    "http://$(front_of "$1")/v1/completions" >/dev/null
}

start_cluster || fail "start"
wait_until all_logged alive 1 || fail "daemon2 is not listed as alive"
for round in 1 2 3; do
  killed="$(now_ms)"
  stop_process daemon2 KILL
  wait_until all_logged dead "$round" || fail "the death of daemon2 was not detected"
  elapsed=$(($(now_ms) - killed))
  echo "metric=death_noticed=$elapsed ms"
  [ "$elapsed" -le 1000 ] || fail "death detected after $elapsed ms"
  for n in 1 3 4; do serves "$n" || fail "daemon$n doesn't serve"; done
  start_daemon 2
  wait_until all_logged alive "$((round + 1))" || fail "daemon2 is not alive again"
  wait_until serves 2 || fail "daemon2 doesn't serve"
done
