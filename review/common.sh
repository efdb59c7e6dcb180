# Shell functions of the review's scripts. Source this file in the folder of a
# case. Every process that a script starts is listed and ended by its number.
set -u
export LC_ALL=C
case_dir="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
root="$(cd "$case_dir/../.." && pwd)"
daemon_program="$root/target/source/daemon/wisteriayoked"
tools="$root/build/review/source"
record="$case_dir/record.txt"
work="$(mktemp -d)"
trouble="${TROUBLE:-1}"
started=()
# A loopback network of its own, so that runs beside each other don't interfere.
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
store="$net.1:18223"
began="$(date +%s%N)"

# Writes a line with the time since the start: note TEXT...
note() {
  local us=$((($(date +%s%N) - began) / 1000))
  printf '%3d.%03d  %s\n' $((us / 1000000)) $((us / 1000 % 1000)) "$*" >>"$record"
}

# Starts a process in the background: start NAME COMMAND...; its number is in
# pid_NAME.
start() {
  local name="$1"
  shift
  "$@" <&0 >"$work/$name.log" 2>&1 &
  printf -v "pid_$name" '%s' "$!"
  started+=("$!")
}
lives() { kill -0 "$1" 2>/dev/null; }

# Ends all processes that were started, and their children.
clean_up() {
  local pid
  for pid in "${started[@]}"; do
    # shellcheck disable=SC2046
    kill -KILL "$pid" $(cat "/proc/$pid/task/$pid/children" 2>/dev/null) 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap clean_up EXIT

# Ends the script because the case can't run.
give_up() {
  note "the case can't run: $*"
  echo "can't run: $*" >&2
  exit 2
}

# Waits until COMMAND succeeds, for at most 20 seconds.
wait_until() {
  local end=$((SECONDS + 20))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

seeds="$net.1:18229,$net.2:18229"
front_of() { echo "$net.$1:18227"; }
ready_of() { echo "$net.$1:18220"; }
operators_of() { echo "$net.$1:9464"; }

# Fills the template of the deploy file for daemon N and starts it.
start_daemon() {
  local ip="$net.$1"
  sed -e "s/{{NodeName}}/edge-a-$1/; s/{{Zone}}/accra-a/" \
    -e "s/{{Listen.Front}}/$ip:18227/; s/{{Listen.Ready}}/$ip:18220/" \
    -e "s/{{Ip}}/$ip/; s/{{Listen.Control}}/$ip:18229/" \
    -e "s/{{Seeds}}/$seeds/" \
    -e "s/{{Platform.Address}}/$store/; s/{{Bounds.RevokeMs}}/5000/" \
    -e "s/{{Bounds.GraceS}}/8/; s/{{Bounds.RetryBudgetRatio}}/0.2/" \
    -e "s/{{Bounds.RetrySlack}}/200/" "$root/deploy/daemon.ini" >"$work/daemon$1.ini"
  start "daemon$1" "$daemon_program" --config "$work/daemon$1.ini"
}
is_ready() { curl -sf -m 1 "http://$(ready_of "$1")/-/ready"; }

# Writes the operator's configuration, with the routes in $routes_extra:
# put_config VERSION [KEY]
routes_extra=
layers=8 layer_mb=10.0
kinds='{"Name":"l4","Mb":400.0,"pace":1.0,"ReadX":1.0}'
put_config() {
  curl -sf -m 2 -X PUT "http://$store/rows/op/config" -d "{\"Version\":$1,
    \"Routes\":[$routes_extra
      {\"Name\":\"notes\",\"Host\":\"h.example\",\"Prefix\":\"/notes/\",
       \"Kind\":\"streaming\",\"Service\":\"yoke-writers\",\"TimeoutMs\":20000,
       \"TargetLatencyMs\":500,\"GapAimMs\":200,\"MaxAttempts\":2,
       \"StreamResume\":true},
      {\"Name\":\"hold\",\"Host\":\"h.example\",\"Prefix\":\"/hold/\",
       \"Kind\":\"non_idempotent\",\"Service\":\"booking-app\",
       \"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"MaxAttempts\":1}],
    \"Services\":[
      {\"Name\":\"yoke-writers\",\"Engine\":{\"Layers\":$layers,
       \"LayerMb\":$layer_mb,\"KvTokenBytes\":1000,\"usual\":{\"prompt\":100,\"answer\":100},
       \"Models\":[{\"Name\":\"m0\"}],
       \"Kinds\":[$kinds]}},
      {\"Name\":\"booking-app\"}],
    \"Tenants\":[{\"Name\":\"volta\",\"ApiKeys\":[\"${2:-k1}\"]}]}"
}

# Starts a worker: start_worker NAME PORT SERVICE [KIND]; a model worker makes
# an event each 100 ms.
start_worker() {
  start "$1" "$tools/standins/fake_layered_worker" --listen "$net.9:$2" \
    --store "$store" --name "i-$1" --pool "$3" --data-centre accra-a \
    --slots 32 --token-us 100000 ${4:+--accelerator "$4"}
}
# Prints how often a worker ran the request: runs_of PORT ATTEMPT
runs_of() { curl -sf -m 2 "http://$net.9:$1/runs?$2"; }

# Starts the worker of the booking service and registers it. It appends what it
# runs to $work/runs.
hold_ms=60
start_booking() {
  start booking1 "$root/build/review/slow_service" "$net.9" 18303 i-booking1 \
    "$hold_ms" "$work/runs"
  curl -sf -m 2 -X PUT "http://$store/rows/servers/i-booking1" \
    -d "{\"Service\":\"booking-app\",\"Address\":\"$net.9:18303\",
         \"Zone\":\"accra-a\",\"Slots\":32,\"State\":\"ready\",
         \"Sequence\":1,\"born\":$(date +%s%3N)}" >/dev/null
}
# Prints how often the booking worker ran the request: holds_of ATTEMPT
holds_of() { grep -c "^$1 " "$work/runs"; }

# Sends a request: send DAEMON PATH ATTEMPT EVENTS [curl arguments...]
send() {
  curl -sN -m 25 -H 'Host: h.example' -H "Attempt-Id: $3" \
    -H 'Authorization: Bearer k1' -H 'Deadline-Ms: 20000' -H 'Model: m0' \
    -H "Token-Counts: 10,$4" -d body "${@:5}" "http://$(front_of "$1")$2"
}
# Checks that a request gets a 200.
is_served() { [ "$(send "$@" -o /dev/null -w '%{http_code}')" = 200 ]; }

# Starts the store, the workers and the daemons 1 to COUNT, and waits until all
# serve: start_all COUNT
start_all() {
  local n
  [ -x "$daemon_program" ] || give_up "no daemon: run the build of the deploy file"
  [ -x "$tools/standins/fake_row_store" ] || give_up "run review/build.sh first"
  : >"$record"
  start store "$tools/standins/fake_row_store" --listen "$store"
  wait_until curl -sf -m 1 "http://$store/rows/op/config" || give_up "no store"
  put_config 3 >/dev/null || give_up "no configuration"
  start_worker writer1 18301 yoke-writers l4
  start_worker writer2 18302 yoke-writers l4
  start_booking
  for ((n = 1; n <= $1; ++n)); do start_daemon "$n"; done
  for ((n = 1; n <= $1; ++n)); do
    wait_until is_ready "$n" || give_up "daemon $n isn't ready"
    wait_until is_served "$n" /notes/warm "warm$n" 1 || give_up "daemon $n serves no stream"
    wait_until is_served "$n" /hold/warm "warmhold$n" 1 || give_up "daemon $n serves no hold"
  done
  note "store, workers and $1 daemons serve; TROUBLE=$trouble"
  # The rules count from StabilityMs (3 s) after the last start of a process.
  sleep 3.5
}
