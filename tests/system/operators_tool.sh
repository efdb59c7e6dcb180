#!/usr/bin/env bash
# wisteriayokectl on a real cluster: tables are checked, set by compare-and-set
# and come in force on all daemons; the outcome of racing and unanswered edits is
# reported correctly; status, time line and drain of daemons work.
export CLUSTER_PORT="${CLUSTER_PORT:-31000}"
source scripts/cluster.sh
trap stop_cluster EXIT

ctl="$cluster_bin/ctl/wisteriayokectl"
out="$cluster_dir/out"
err="$cluster_dir/err"

fail() {
  echo "FAILED: $*; output: $(cat "$out" "$err" 2>/dev/null)" >&2
  exit 1
}

# Runs the tool and checks its exit status: run STATUS ARGUMENT...
run() {
  local expected="$1" status
  shift
  "$ctl" "$@" >"$out" 2>"$err"
  status=$?
  [ "$status" = "$expected" ] || fail "$*: status $status, not $expected"
}

# Checks that FILE contains TEXT: expect FILE TEXT
expect() { grep -qF -- "$2" "$1" || fail "$2 is missing"; }

# Checks that daemon N has VERSION of the tables in force: is_in_force N VERSION
is_in_force() {
  curl -sf "http://$(operators_of "$1")/status" |
    grep -q "\"tables_version\":$2,"
}

set_faults() {
  curl -sf -X PUT -d "$1" "http://$platform_address/faults" >/dev/null ||
    fail "faults $1"
}

start_cluster || fail "start"
cat >"$cluster_dir/ctl.ini" <<CONFIG
[platform]
address = $platform_address
[operators]
addresses = $(operators_of 1), $(operators_of 2), $(operators_of 3), $(operators_of 4)
CONFIG
config=(--config "$cluster_dir/ctl.ini")
tables="$cluster_dir/edited.json"

# Each command has a help text; a usage error exits with status 6.
for command in "table get" "table check" "table set" "table diff" \
  "table history" status drain restart timeline explain version; do
  # shellcheck disable=SC2086
  run 0 $command --help
  expect "$out" "Usage: wisteriayokectl $command"
done
run 6 table bogus
run 6 status
run 6 table set "$tables" "${config[@]}"
expect "$err" "--base"
sed 's/platform/platfrom/' "$cluster_dir/ctl.ini" >"$cluster_dir/wrong.ini"
run 6 table get --config "$cluster_dir/wrong.ini"
expect "$err" 'did you mean "platform.address"'

# The tables are read, checked with the line of an error, set, and in force on
# all four daemons.
run 0 table get "${config[@]}"
expect "$err" "version 1"
cmp -s "$out" "$cluster_dir/tables.json" || fail "table get differs"
sed 's/"pool": "booking"/"pool": "bookings"/' "$out" >"$tables"
run 4 table check "$tables"
expect "$err" 'edited.json:9: route "booking": there is no pool "bookings"'
run 4 table set "$tables" --base 1 "${config[@]}"
sed 's/60000/50000/' "$cluster_dir/tables.json" >"$tables"
run 0 table check "$tables"
run 0 table set "$tables" --base 1 --author ana "${config[@]}"
expect "$out" "accepted: version 2"
for n in 1 2 3 4; do
  wait_until is_in_force "$n" 2 || fail "version 2 is not in force on $n"
done

# An edit that lost a race gets a conflict that names both versions.
sed 's/60000/40000/' "$cluster_dir/tables.json" >"$cluster_dir/racing.json"
run 4 table set "$cluster_dir/racing.json" --base 1 "${config[@]}"
expect "$err" "error 402"
expect "$err" "your edit would be version 2"
expect "$err" "version 2 (hash"
run 0 table set "$tables" --base 2 "${config[@]}"
expect "$out" "unchanged: version 2"

# The outcome of a commit whose answer was lost is read back from the store. The
# content, the history record and the head are written, in this order.
set_faults '{"lose_answers": 3}'
run 0 table set "$cluster_dir/racing.json" --base 2 --timeout-ms 300 "${config[@]}"
expect "$out" "accepted: version 3"
set_faults '{}'

# With a store that hangs, an edit fails unchanged or its outcome is unknown.
set_faults '{"outage": "hang"}'
run 5 table set "$tables" --base 3 --timeout-ms 100 "${config[@]}"
expect "$err" "nothing was changed"
set_faults '{}'

run 0 table history "${config[@]}"
[ "$(cut -d' ' -f1 "$out" | tr '\n' ' ')" = "3 2 1 " ] || fail "the history does not list versions 3, 2 and 1"
expect "$out" " ana "
run 0 table diff 1 2 "${config[@]}"
expect "$out" "changed routes/assistant/deadline_ms: 60000 -> 50000"
run 0 table get 1 "${config[@]}"
cmp -s "$out" "$cluster_dir/tables.json" || fail "version 1 differs"
run 0 table history --json "${config[@]}"
expect "$out" '"previous_hash"'

# Daemons: status, explanation of a request, merged time line in order, versions.
run 0 status "${config[@]}"
for n in 1 2 3 4; do expect "$out" "daemon$n ready"; done
expect "$out" "upstream assistant/engine1 healthy"
run 0 status --json "${config[@]}"
expect "$out" '"path":"upstreams/booking/service1"'
request="$(curl -s -i -X POST -H 'Wisteriayoke-Workspace: volta' \
  -d '{"model":"summary-7b","prompt":"x"}' "http://$(front_of 2)/v1/completions" |
  tr -d '\r' | sed -n 's/^Wisteriayoke-Request: //p')"
[ -n "$request" ] || fail "no request id"
run 0 explain "$request" "${config[@]}"
run 0 timeline --limit 1000 "${config[@]}"
for n in 1 2 3 4; do expect "$out" "daemon$n started"; done
cut -d' ' -f1 "$out" | sort -c || fail "the time line is not in order"
run 0 version "${config[@]}"
expect "$out" "daemon4 "
"$ctl" table check $'no\r\nfile' >"$out" 2>"$err" && fail "a missing file is valid"
[ "$(wc -l <"$err")" = 1 ] || fail "an operand added a line"
for child in no/such 'no such?a=b#c' $'no\r\nA: b'; do
  run 1 restart "$child" "${config[@]}"
  expect "$err" "error 114"
done
run 0 restart tables "${config[@]}"

# One daemon drains and ends; the status still shows the others.
run 0 drain --daemons "$(operators_of 4)"
wait "$(pid_of daemon4)" || fail "a drained daemon ended with status $?"
run 7 status "${config[@]}"
expect "$out" "daemon3 ready"
expect "$err" "$(operators_of 4)"
