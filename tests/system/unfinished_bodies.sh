#!/usr/bin/env bash
# Many connections that never complete a request leave the daemon alive, within
# the memory and the descriptors that its settings give, and able to answer:
# unfinished_bodies.sh PATTERN, with a pattern of unfinished_caller.cc.
# Guards against clients outside the operators' control that end a process for
# want of memory or descriptors.
export CLUSTER_PORT="${CLUSTER_PORT:-31700}"
source scripts/cluster.sh
trap stop_all EXIT

pattern="${1:?give a pattern}"
callers=150
# The daemon is told of a machine of this size and must stay below it.
memory_mb=32
max_descriptors=400
extra=""
case "$pattern" in
  idle_connections) max_descriptors=100 ;;
  endless_header) extra="max_header_bytes = 1048576" ;;
esac

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

stop_all() {
  [ -n "${crowd:-}" ] && kill "$crowd" 2>/dev/null
  stop_cluster
}

# Adds NAME = VALUE to the settings if the daemon has such a setting.
add_setting() {
  "$cluster_bin/daemon/wisteriayoked" --help-settings | grep -q "^| \`$1\`" &&
    sed -i "/^\[front\]/a $1 = $2" "$cluster_dir/daemon1.ini"
}

# Prints how many descriptors the daemon has open.
count_descriptors() { find "/proc/$(pid_of daemon1)/fd" -type l 2>/dev/null | wc -l; }

# Prints the processor time of the daemon in ticks.
count_ticks() { awk '{print $14 + $15}' "/proc/$(pid_of daemon1)/stat"; }
# Returns whether the daemon uses less than a third of a core.
is_calm() {
  local before
  before="$(count_ticks)"
  sleep 0.3
  [ $(($(count_ticks) - before)) -lt 10 ]
}

# Sends one ordinary request.
is_served() {
  curl -sf -m 5 -H 'Wisteriayoke-Workspace: volta' \
    -d '{"model":"summary-7b","prompt":"x","max_tokens":3}' \
    "http://$(front_of 1)/v1/completions"
}

start_process platform "$cluster_bin/standins/fake_platform" \
  --listen "$platform_address"
start_process service "$cluster_bin/standins/fake_service" \
  --listen "$service_address"
for n in 1 2 3 4; do start_engine "$n"; done
write_tables
wait_until curl -s "http://$platform_address/" || fail "no platform"
set_first_tables "$cluster_dir/tables.json"
write_config 1
sed -i '/^seeds/d' "$cluster_dir/daemon1.ini"
[ -n "$extra" ] && sed -i "/^\[front\]/a $extra" "$cluster_dir/daemon1.ini"
add_setting memory_mb "$memory_mb"
add_setting max_descriptors "$max_descriptors"
start_process daemon1 "$cluster_bin/daemon/wisteriayoked" \
  --config "$cluster_dir/daemon1.ini"
wait_until curl -sf "http://$(front_of 1)/readyz" || fail "daemon1 is not ready"
wait_until is_served || fail "no answer before the crowd"

mkfifo "$cluster_dir/hold"
"${UNFINISHED_CALLER:-build/release/tests/system/unfinished_caller}" \
  "$cluster_net.1" "$cluster_port" "$pattern" "$callers" \
  <"$cluster_dir/hold" >"$cluster_dir/crowd.log" 2>&1 &
crowd=$!
exec 8>"$cluster_dir/hold"
descriptors=0
until grep -q sent "$cluster_dir/crowd.log"; do
  kill -0 "$crowd" 2>/dev/null || fail "the crowd ended: $(cat "$cluster_dir/crowd.log")"
  now="$(count_descriptors)"
  [ "$now" -gt "$descriptors" ] && descriptors="$now"
  read -rt 0.05 <> <(:) || true
done
now="$(count_descriptors)"
[ "$now" -gt "$descriptors" ] && descriptors="$now"

# What the kernel holds still reaches the daemon.
wait_until is_calm
kill -0 "$(pid_of daemon1)" 2>/dev/null || fail "daemon1 ended"
served=yes
wait_until is_served || served=no
peak="$(awk '/^VmHWM/ {print $2}' "/proc/$(pid_of daemon1)/status")"
echo "$pattern: peak memory $peak KB of $((memory_mb * 1024)), descriptors" \
  "$descriptors of $max_descriptors, ordinary request beside the crowd: $served"
[ "$served" = yes ] || fail "no ordinary request was answered"
[ "$peak" -le $((memory_mb * 1024)) ] || fail "memory is over the bound"
[ "$descriptors" -le "$max_descriptors" ] || fail "descriptors are over the bound"
