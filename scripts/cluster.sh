#!/usr/bin/env bash
# Starts and stops four daemons and their stand-ins on loopback addresses.
# Source this file, then call the functions. Every process that it starts is
# listed in $cluster_dir/pids and ended by its number.
set -u

cluster_bin="${CLUSTER_BIN:-build/release/source}"
cluster_dir="${CLUSTER_DIR:-$(mktemp -d)}"
cluster_port="${CLUSTER_PORT:-7000}"
# A loopback network of its own, so that clusters on one machine don't interfere.
cluster_net="127.$(($$ / 256 % 256)).$(($$ % 256))"
platform_address="$cluster_net.1:$((cluster_port + 100))"
service_address="$cluster_net.1:$((cluster_port + 300))"

# Starts a process in the background: start_process NAME COMMAND...
start_process() {
  local name="$1"
  shift
  "$@" >"$cluster_dir/$name.log" 2>&1 &
  echo "$!" >"$cluster_dir/$name.pid"
}

# Prints the process number of NAME.
pid_of() { cat "$cluster_dir/$1.pid"; }

# Prints the address of the callers' front end of daemon N.
front_of() { echo "$cluster_net.$1:$cluster_port"; }

# Prints the address of the operators' server of daemon N.
operators_of() { echo "$cluster_net.$1:$((cluster_port + 1))"; }

# Prints the address of engine N.
engine_of() { echo "$cluster_net.1:$((cluster_port + 200 + $1))"; }

# Writes the settings file of daemon N.
write_config() {
  local n="$1" seeds=""
  for peer in 1 2 3 4; do
    [ "$peer" = "$n" ] || seeds="$seeds,$cluster_net.$peer:$((cluster_port + 2))"
  done
  cat >"$cluster_dir/daemon$n.ini" <<CONFIG
[daemon]
name = daemon$n
data_centre = accra-1
[front]
address = $(front_of "$n")
[operators]
address = $(operators_of "$n")
[peers]
address = $cluster_net.$n:$((cluster_port + 2))
seeds = ${seeds#,}
[platform]
address = $platform_address
CONFIG
}

# Writes the tables of the cluster: two engines for each half of the model's
# layers, and one booking service.
write_tables() {
  cat >"$cluster_dir/tables.json" <<TABLES
{
  "workspaces": [
    {"name": "volta", "weight": 2},
    {"name": "chama", "weight": 1}
  ],
  "routes": [
    {"name": "assistant", "prefix": "/v1/", "pool": "assistant",
     "kind": "model", "deadline_ms": 60000},
    {"name": "booking", "prefix": "/booking/", "pool": "booking",
     "kind": "service", "idempotent": false, "deadline_ms": 5000},
    {"name": "seats", "prefix": "/booking/seats", "pool": "booking",
     "kind": "service", "idempotent": true, "deadline_ms": 5000}
  ],
  "pools": [
    {"name": "assistant", "kind": "model", "model": "summary-7b", "layers": 32,
     "upstreams": [
       {"name": "engine1", "address": "$(engine_of 1)", "data_centre": "accra-1",
        "accelerator": "a", "first_layer": 0, "end_layer": 16},
       {"name": "engine2", "address": "$(engine_of 2)", "data_centre": "accra-1",
        "accelerator": "b", "first_layer": 16, "end_layer": 32},
       {"name": "engine3", "address": "$(engine_of 3)", "data_centre": "accra-2",
        "accelerator": "a", "first_layer": 0, "end_layer": 16},
       {"name": "engine4", "address": "$(engine_of 4)", "data_centre": "accra-2",
        "accelerator": "b", "first_layer": 16, "end_layer": 32}
     ]},
    {"name": "booking", "kind": "service", "upstreams": [
       {"name": "service1", "address": "$service_address", "slots": 8}
     ]}
  ]
}
TABLES
}

# Waits until COMMAND succeeds, for at most ten seconds.
wait_until() {
  local deadline=$((SECONDS + 10))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "timed out: $*" >&2
      return 1
    fi
    read -rt 0.02 <> <(:) || true
  done
}

# Starts daemon N.
start_daemon() {
  write_config "$1"
  start_process "daemon$1" "$cluster_bin/daemon/wisteriayoked" \
    --config "$cluster_dir/daemon$1.ini"
}

# Starts daemon N as a relay before the stand-in of the platform's store at $store:
# start_relay N
start_relay() {
  cat >"$cluster_dir/daemon$1.ini" <<CONFIG
[daemon]
name = daemon$1
data_centre = accra-a
[front]
interface = relay
address = $(front_of "$1")
ready_address = $cluster_net.$1:$((cluster_port + 3))
[operators]
address = $(operators_of "$1")
[peers]
address = $cluster_net.$1:$((cluster_port + 2))
seeds = $cluster_net.1:$((cluster_port + 2)),$cluster_net.2:$((cluster_port + 2))
[platform]
address = $store
[relay]
revocation_ms = 5000
stop_grace_s = 8
CONFIG
  start_process "daemon$1" "$cluster_bin/daemon/wisteriayoked" \
    --config "$cluster_dir/daemon$1.ini"
}

# Starts engine N: the first half of the layers if N is odd, the second if even.
start_engine() {
  local first=0 end=16
  if [ $(($1 % 2)) = 0 ]; then first=16 end=32; fi
  start_process "engine$1" "$cluster_bin/standins/fake_engine" \
    --listen "$(engine_of "$1")" --first-layer $first --end-layer $end
}

# Puts FILE in force as version 1: writes its content, then the head record.
set_first_tables() {
  local hash
  hash="$(sha256sum "$1" | cut -d' ' -f1)"
  curl -sf -X PUT --data-binary "@$1" "http://$platform_address/objects/$hash"
  curl -sf -X PUT -H 'Expected-Version: 0' -d "{\"version\":1,\"hash\":\"$hash\"}" \
    "http://$platform_address/records/tables/head" >/dev/null
}

# Starts all stand-ins and daemons and waits until all daemons are ready.
start_cluster() {
  start_process platform "$cluster_bin/standins/fake_platform" \
    --listen "$platform_address"
  start_process service "$cluster_bin/standins/fake_service" \
    --listen "$service_address"
  for n in 1 2 3 4; do start_engine "$n"; done
  write_tables
  wait_until curl -s "http://$platform_address/"
  set_first_tables "$cluster_dir/tables.json"
  for n in 1 2 3 4; do start_daemon "$n"; done
  for n in 1 2 3 4; do
    wait_until curl -sf "http://$(front_of "$n")/readyz" || return 1
  done
}

# Ends NAME by SIGNAL (TERM) and returns its exit status: stop_process NAME [SIGNAL]
stop_process() {
  local pid
  pid="$(pid_of "$1")"
  kill "-${2:-TERM}" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
}

# Stops all processes of the cluster that were started.
stop_cluster() {
  local name
  for name in daemon1 daemon2 daemon3 daemon4 engine1 engine2 engine3 engine4 \
    service platform; do
    [ -e "$cluster_dir/$name.pid" ] && stop_process "$name"
  done
  return 0
}
