#!/usr/bin/env bash
# wisteriayoked --check-config accepts a valid file and rejects an unknown key
# with its name, its line and the nearest known name.
export CLUSTER_PORT="${CLUSTER_PORT:-31000}"
source scripts/cluster.sh
daemon="$cluster_bin/daemon/wisteriayoked"

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

write_config 1
config="$cluster_dir/daemon1.ini"
"$daemon" --config "$config" --check-config || fail "a valid file was rejected"

sed 's/^data_centre/data_center/' "$config" >"$cluster_dir/wrong.ini"
message="$("$daemon" --config "$cluster_dir/wrong.ini" --check-config 2>&1)"
status=$?
[ "$status" = 6 ] || fail "an unknown key ended with status $status"
[[ "$message" == *"601"*"line 3"*"daemon.data_center"*"daemon.data_centre"* ]] ||
  fail "the message does not name the key: $message"
