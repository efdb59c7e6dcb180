#!/usr/bin/env bash
# One daemon of four is killed: the others must go on serving and know within a
# second that it is dead. It is started again and must be known to be alive.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-27310}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

now_ms() { date +%s%3N; }
# Counts how often daemon N noted STATUS of daemon 2.
count_noted() { grep -c "member=daemon2 status=$2 " "$cluster_dir/daemon$1.log"; }
all_noted() {
  local n
  for n in 1 3 4; do [ "$(count_noted "$n" "$1")" -ge "$2" ] || return 1; done
}
serves() {
  curl -sf -H 'Wisteriayoke-Workspace: volta' \
    -d '{"model":"summary-7b","prompt":"seats","max_tokens":3}' \
    "http://$(front_of "$1")/v1/completions" >/dev/null
}

start_cluster || fail "start"
wait_until all_noted alive 1 || fail "daemon2 is not known"
for round in 1 2 3; do
  killed="$(now_ms)"
  stop_process daemon2 KILL
  wait_until all_noted dead "$round" || fail "the death went unnoticed"
  elapsed=$(($(now_ms) - killed))
  echo "metric=death_noticed=$elapsed ms"
  [ "$elapsed" -le 1000 ] || fail "noticed after $elapsed ms"
  for n in 1 3 4; do serves "$n" || fail "daemon$n doesn't serve"; done
  start_daemon 2
  wait_until all_noted alive "$((round + 1))" || fail "daemon2 is not back"
  wait_until serves 2 || fail "daemon2 doesn't serve"
done
