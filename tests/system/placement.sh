#!/usr/bin/env bash
# Engines get their orders from one daemon at a time: the holder of the pool's
# lease rolls out a version, the successor of a killed holder has a higher fencing
# number, and a paused holder sends no orders after it is resumed.
export CLUSTER_PORT="${CLUSTER_PORT:-28600}"
source scripts/cluster.sh
trap 'kill -CONT "$(pid_of "daemon${holder:-1}")" 2>/dev/null; stop_cluster' EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Writes the settings of daemon N with a short lease.
write_config_with_lease() {
  write_config "$1"
  printf '[placement]\nlease_ms = 1000\n' >>"$cluster_dir/daemon$1.ini"
}

# Starts daemon N with a short lease; replaces the function of cluster.sh.
start_daemon() {
  write_config_with_lease "$1"
  start_process "daemon$1" "$cluster_bin/daemon/wisteriayoked" \
    --config "$cluster_dir/daemon$1.ini"
}

# Sets tables that order VERSION of the weights, as table version NUMBER:
# order_version VERSION NUMBER
order_version() {
  local hash
  sed "s/\"layers\": 32,/\"layers\": 32, \"placement\": {\"version\": \"$1\", \"loads_per_minute\": 600},/" \
    "$cluster_dir/tables.json" >"$cluster_dir/tables-$1.json"
  hash="$(sha256sum "$cluster_dir/tables-$1.json" | cut -d' ' -f1)"
  curl -sf -X PUT --data-binary "@$cluster_dir/tables-$1.json" \
    "http://$platform_address/objects/$hash"
  curl -sf -X PUT -H "Expected-Version: $(($2 - 1))" \
    -d "{\"version\":$2,\"hash\":\"$hash\"}" \
    "http://$platform_address/records/tables/head" >/dev/null
}

holds_version() { curl -s "http://$(engine_of "$1")/orders" | grep -q "\"version\":\"$2\""; }
all_hold() { for n in 1 2 3 4; do holds_version "$n" "$1" || return 1; done; }
# Prints the last fencing number that engine N accepted.
fencing_of() {
  curl -s -i "http://$(engine_of "$1")/orders" | tr -d '\r' |
    sed -n 's/^Fake-Fencing: //p'
}
# Prints the number of the daemon that acquired the lease last.
last_holder() {
  grep -h 'event=lease-taken' "$cluster_dir"/daemon*.log | sort | tail -n1 |
    sed -n 's/.*process=daemon\([0-9]*\).*/\1/p'
}
holder_is_not() { [ "$(last_holder)" != "$1" ]; }
# Prints how many orders daemon N has sent.
count_orders() { grep -c 'event=order-sent' "$cluster_dir/daemon$1.log"; }

start_cluster || fail "start"
order_version v1 2 || fail "tables"
wait_until all_hold v1 || fail "v1 was not rolled out"
first="$(fencing_of 1)"
holder="$(last_holder)"
[ "$(grep -l 'event=order-sent' "$cluster_dir"/daemon*.log | wc -l)" = 1 ] ||
  fail "more than one daemon sent orders"
echo "v1 rolled out by daemon$holder, fencing number $first"

stop_process "daemon$holder" KILL
wait_until holder_is_not "$holder" || fail "no daemon succeeded the killed holder"
order_version v2 3 || fail "tables"
wait_until all_hold v2 || fail "v2 was not rolled out"
second="$(fencing_of 1)"
[ "$second" -gt "$first" ] || fail "the fencing number went from $first to $second"
holder="$(last_holder)"
echo "v2 rolled out by daemon$holder, fencing number $second"

kill -STOP "$(pid_of "daemon$holder")"
sent="$(count_orders "$holder")"
wait_until holder_is_not "$holder" || fail "no daemon succeeded the paused holder"
order_version v3 4 || fail "tables"
wait_until all_hold v3 || fail "v3 was not rolled out"
kill -CONT "$(pid_of "daemon$holder")"
wait_until grep -q 'event=lease-ended' "$cluster_dir/daemon$holder.log" ||
  fail "the paused holder did not see its lease end"
wait_until grep -q 'event=tables-in-force.*version=4' \
  "$cluster_dir/daemon$holder.log" || fail "the paused holder did not apply the latest tables"
[ "$(count_orders "$holder")" = "$sent" ] || fail "the paused holder sent orders"
all_hold v3 || fail "v3 did not stay"
echo "v3 rolled out by daemon$(last_holder); paused daemon$holder sent nothing"
