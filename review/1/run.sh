#!/usr/bin/env bash
# One of 39 model workers falls silent for a second while a daemon has some 300
# streams, and goes on. The holds that callers send to the daemon from then on, for
# another service whose worker is sound, must be answered by their route's
# TimeoutMs.
source "$(dirname "$0")/../common.sh"
streams="${STREAMS:-400}"
[ -x "$daemon_program" ] || give_up "no daemon: run the build of the deploy file"
[ -x "$root/build/review/model_fleet" ] || give_up "run review/build.sh first"
: >"$record"
start store "$tools/standins/fake_row_store" --listen "$store"
wait_until curl -sf -m 1 "http://$store/rows/op/config" || give_up "no store"
seeds="$net.2:18229,$net.3:18229,$net.4:18229"
layers=80 layer_mb=1750.0
kinds='{"Name":"h100","Mb":72000.0,"pace":1.4,"ReadX":1.0},
  {"Name":"a100s","Mb":36000.0,"pace":3.1,"ReadX":3.2},
  {"Name":"l4","Mb":21600.0,"pace":16.0,"ReadX":8.2},
  {"Name":"t4","Mb":14400.0,"pace":15.0,"ReadX":15.0}'
put_config 3 >/dev/null || give_up "no configuration"
# The workers, each with its zone, kind and layers: three copies of the model and
# some more of its layers, on the cards of the site.
workers=(
  a/h100/0-30 a/a100s/30-45 a/l4/45-53 a/l4/53-61 a/l4/61-69 a/l4/69-76
  a/l4/72-80 a/t4/0-5 a/t4/5-10 a/t4/10-15 a/t4/15-20 a/t4/20-25 a/t4/25-30
  a/t4/76-80
  b/a100s/0-15 b/l4/15-23 b/l4/23-31 b/l4/31-39 b/l4/39-47 b/l4/47-55
  b/l4/55-63 b/l4/63-71 b/l4/71-79 b/t4/75-80 b/t4/3-8 b/t4/33-38
  c/a100s/0-15 c/a100s/15-30 c/l4/30-38 c/l4/38-46 c/l4/46-54 c/l4/54-62
  c/t4/62-67 c/t4/67-72 c/t4/72-77 c/t4/77-80 c/t4/40-45 c/t4/50-55 c/t4/12-17)
mkfifo "$work/orders"
exec 5<>"$work/orders"
start fleet "$root/build/review/model_fleet" "$net.9" 18310 "${#workers[@]}" 40 \
  <"$work/orders"

born="$(date +%s%3N)"
for i in "${!workers[@]}"; do
  IFS=/ read -r zone kind range <<<"${workers[$i]}"
  curl -sf -m 2 -X PUT "http://$store/rows/servers/i-w$i" -d "{
    \"Service\":\"yoke-writers\",\"Address\":\"$net.9:$((18310 + i))\",
    \"Zone\":\"accra-$zone\",\"Slots\":192,\"State\":\"ready\",\"Sequence\":1,
    \"born\":$born,\"Kind\":\"$kind\",
    \"Layers\":{\"From\":${range%-*},\"To\":${range#*-},\"Version\":1}}" >/dev/null ||
    give_up "no entry for worker $i"
done
start_booking
start_daemon 1
wait_until is_ready 1 || give_up "the daemon isn't ready"
wait_until is_served 1 /hold/warm warmhold 0 || give_up "the daemon serves no hold"
wait_until is_served 1 /notes/warm warmnote 1 || give_up "the daemon serves no stream"
note "store, ${#workers[@]} model workers, booking worker and daemon serve; TROUBLE=$trouble"
sleep 4.2
# The platform asks once a second whether the daemon is ready.
ask_ready() {
  while true; do
    printf '%s %s\n' "$(date +%s%3N)" "$(curl -s -m 1 -o /dev/null \
      -w '%{http_code}' "http://$(ready_of 1)/-/ready")" >>"$work/ready"
    sleep 1
  done
}
ask_ready &
started+=("$!")
start callers "$root/build/review/stream_callers" "$net.1" 18227 "$streams" 160 4200 32
callers_at="$(date +%s%3N)"
note "callers: $streams streams of 160 events at 40 ms within 4.2 s, then a hold each 125 ms"
sleep 4.2
if [ "$trouble" != 0 ]; then
  echo "silent 0" >&5
  note "worker 0 (layers 0-30, the first of many paths) falls silent"
fi
sleep 1.0
echo "speak 0" >&5
note "worker 0 goes on"
wait "$pid_callers"
sort -k1,1 -k2,2n "$work/callers.log" | sed 's/^/        /' >>"$record"
sed "s/^/        ready question at (unix ms) and answer: /" "$work/ready" >>"$record"
# Holds without an answer at TimeoutMs (1,500), and of these the ones that have
# none half a second later.
read -r unanswered late <<<"$(awk '$1 == "hold" {
  t = $6 - $4; if (t > 1500) { u++; if (t > 2000) l++ } }
  END { print u + 0, l + 0 }' "$work/callers.log")"
missed="$(grep -vc ' 200$' "$work/ready")"
note "holds unanswered at TimeoutMs: $unanswered of 32, without an answer 0.5 s later: $late; ready questions without a 200: $missed of $(wc -l <"$work/ready")"
left="$(grep -c '^note.* left ' "$work/callers.log")"
note "streams that their callers left after a gap of two seconds: $left of $streams"
note "lines of the daemon: $(grep -c event=upstream-suspected "$work/daemon1.log") upstream-suspected, $(grep -c event=attempt-kept "$work/daemon1.log") attempt-kept, $(grep -c event=stream-resumed "$work/daemon1.log") stream-resumed"
echo "holds unanswered at TimeoutMs: $unanswered, half a second later: $late; ready missed: $missed"
[ $((2 * late)) -le "$unanswered" ] || exit 1
