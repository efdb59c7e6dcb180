#!/usr/bin/env bash
# The store fails right after it accepted a change of the tables: the change must
# be in force on all daemons within a second, a daemon that starts during the
# outage must get it from its peers, and a daemon that starts while the store lags
# must not apply the version before.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-27000}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

now_ms() { date +%s%3N; }
set_faults() { curl -sf -X PUT -d "$1" "http://$platform_address/faults"; }
# Sends FILE as version NUMBER to daemon N and prints the status: announce N
# NUMBER FILE
announce() {
  curl -s -o "$cluster_dir/announced" -w '%{http_code}' -X PUT \
    --data-binary "@$3" "http://$(operators_of "$1")/tables/$2"
}
# Checks that daemon N logged VERSION as in force: in_force N VERSION
in_force() { grep -q "event=tables-in-force .*version=$2 " "$cluster_dir/daemon$1.log"; }
all_in_force() {
  local n
  for n in 1 2 3 4; do in_force "$n" "$1" || return 1; done
}
# Checks that daemon N accepts WORKSPACE: knows_workspace N WORKSPACE
knows_workspace() {
  curl -sf -H "Wisteriayoke-Workspace: $2" \
    "http://$(front_of "$1")/booking/seats" >/dev/null
}

# Lag of the store beyond the time of the change, in the last check. Long enough
# for the processes that this script starts meanwhile, even on a busy machine.
lag_ms=1500

start_cluster || fail "start"
# Makes the first version old enough for the lagging store to return it.
sleep 2
knows_workspace 1 nova && fail "daemon1 accepts the new workspace before the change"
sed 's/{"name": "volta", "weight": 2},/&{"name": "nova"},/' \
  "$cluster_dir/tables.json" >"$cluster_dir/next.json"
hash="$(sha256sum "$cluster_dir/next.json" | cut -d' ' -f1)"
curl -sf -X PUT --data-binary "@$cluster_dir/next.json" \
  "http://$platform_address/objects/$hash" || fail "the store refused the content"
curl -sf -X PUT -H 'Expected-Version: 1' \
  -d "{\"version\":2,\"hash\":\"$hash\"}" \
  "http://$platform_address/records/tables/head" >/dev/null || fail "the store refused the head record"
accepted="$(now_ms)"
set_faults '{"outage":"refuse"}' || fail "outage"
status="$(announce 1 2 "$cluster_dir/next.json")"
[ "$status" = 202 ] || fail "announcement: $status"
wait_until all_in_force 2 || fail "not in force everywhere"
elapsed=$(($(now_ms) - accepted))
echo "metric=tables_in_force=$elapsed ms"
[ "$elapsed" -le 1000 ] || fail "in force after $elapsed ms"
for n in 1 2 3 4; do
  knows_workspace "$n" nova || fail "daemon$n doesn't know the new workspace"
done

status="$(announce 1 3 <(echo '{"routes": 1}'))"
[ "$status" = 422 ] || fail "invalid tables were answered with $status"

stop_process daemon3 || fail "daemon3 ended with status $?"
started="$(now_ms)"
start_daemon 3
wait_until knows_workspace 3 nova || fail "daemon3 got no tables from its peers"
echo "metric=cold_start_in_outage=$(($(now_ms) - started)) ms"

stop_process daemon4 || fail "daemon4 ended with status $?"
set_faults "{\"stale_ms\":$(($(now_ms) - accepted + lag_ms))}" || fail "lag"
curl -s "http://$platform_address/records/tables/head" |
  grep -q '"version":1' || fail "the store does not return version 1"
start_daemon 4
wait_until in_force 4 2 || fail "daemon4 has no tables"
in_force 4 1 && fail "daemon4 put version 1 in force"
echo "cold start before a lagging store: version 2 alone"
