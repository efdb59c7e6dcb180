# Starts daemons and stand-ins of one case on loopback addresses of its own.
# Source it from run.sh, after `cd` into the folder of the case. Each process is
# ended by its number when the script exits.
set -u
case_dir="$PWD"
root="$(cd ../.. && pwd)"
daemon="${DAEMON:-$root/target/source/daemon/wisteriayoked}"
row_store="${ROW_STORE:-$root/target/source/standins/fake_row_store}"
lab="${LAB:-$root/target/review-3/lab}"
work="$(mktemp -d)"
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
port=$((RANDOM % 20000 + 12000))
store="$net.1:$((port + 9))"
daemons_store="$store"  # Where the daemons connect; a case may set a proxy.
record="$case_dir/record.txt"
: >"$record"

end_all() {
  local file
  for file in "$work"/*.pid; do
    [ -e "$file" ] || continue
    kill -CONT "$(cat "$file")" 2>/dev/null
    kill -KILL "$(cat "$file")" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap end_all EXIT

cannot_run() {
  echo "the case can't run: $*" | tee -a "$record" >&2
  exit 2
}
for program in "$daemon" "$row_store" "$lab"; do
  [ -x "$program" ] || cannot_run "$program isn't built; see review/build-3.sh"
done

# note TEXT...: adds a line to the record, with the time of day in milliseconds.
note() { echo "$(date +%s%3N) $*" >>"$record"; }

# start NAME COMMAND...
start() {
  local name="$1"
  shift
  "$@" >"$work/$name.out" 2>&1 &
  echo "$!" >"$work/$name.pid"
  disown "$!"
}
pid_of() { cat "$work/$1.pid"; }
front_of() { echo "$net.$1:$port"; }
ready_of() { echo "$net.$1:$((port + 1))"; }

# wait_for SECONDS COMMAND...
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

start_store() {
  start store "$row_store" --listen "$store"
  wait_for 10 curl -sf "http://$store/rows/op/config" || cannot_run "no store"
}

# put_config FILE: as the operator does.
put_config() {
  curl -sf -X PUT "http://$store/rows/op/config" --data-binary "@$1" \
    >/dev/null || cannot_run "the store took no configuration"
}

# start_daemon N ZONE: the command and the template of the deploy file.
start_daemon() {
  local seeds="$net.11:$((port + 2)),$net.12:$((port + 2)),$net.13:$((port + 2))"
  sed -e "s/{{NodeName}}/edge-$1/; s/{{Zone}}/$2/" \
    -e "s/{{Listen.Front}}/$net.$1:$port/" \
    -e "s/{{Listen.Ready}}/$net.$1:$((port + 1))/" \
    -e "s/{{Listen.Control}}/$net.$1:$((port + 2))/" \
    -e "s/{{Ip}}:9464/$net.$1:$((port + 3))/" \
    -e "s/{{Seeds}}/$seeds/; s/{{Platform.Address}}/$daemons_store/" \
    -e 's/{{Limits.MemoryMb}}/390/; s/{{Limits.MaxFds}}/6150/' \
    -e 's/{{Bounds.RevokeMs}}/5000/; s/{{Bounds.GraceS}}/8/' \
    -e 's/{{Bounds.RetryBudgetRatio}}/0.2/; s/{{Bounds.RetrySlack}}/200/' \
    "$root/deploy/daemon.ini" >"$work/edge-$1.ini"
  start "edge-$1" "$daemon" --config "$work/edge-$1.ini"
}
is_ready() { curl -sf "http://$(ready_of "$1")/-/ready"; }

# start_worker NAME SERVICE ZONE PORT [OPTION VALUE...]
start_worker() {
  start "$1" "$lab" worker --listen "$net.2:$((port + $4))" --store "$store" \
    --name "$1" --service "$2" --zone "$3" --log "$work/runs-$1.log" "${@:5}"
}
