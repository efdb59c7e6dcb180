#!/usr/bin/env bash
# The relay with real processes: layers are placed, a stream survives the loss of
# a stage and the planned stop of its daemon, a revoked key is refused, keys expire
# without the store, non-idempotent work runs once, a leaving upstream gets no new
# work, and after the loss of all daemons no layers are placed again.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-28900}"
source scripts/cluster.sh
trap stop_relay_cluster EXIT

daemons="1 2 3"
workers="left1 left2 right1 right2 booking1 booking2"
store="$cluster_net.1:$((cluster_port + 100))"

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

stop_relay_cluster() {
  local name
  for name in daemon1 daemon2 daemon3 $workers store; do
    [ -e "$cluster_dir/$name.pid" ] && stop_process "$name"
  done
}

# Writes the operator's document: put_document VERSION KEY
put_document() {
  curl -sf -X PUT "http://$store/rows/op/config" -d "{\"Version\":$1,
    \"Routes\":[
      {\"Name\":\"assist\",\"Host\":\"h.test\",\"Prefix\":\"/assist/\",
       \"Kind\":\"streaming\",\"Service\":\"writers\",\"TimeoutMs\":20000,
       \"TargetLatencyMs\":500,\"GapAimMs\":200,\"MaxAttempts\":3,
       \"StreamResume\":true},
      {\"Name\":\"hold\",\"Host\":\"h.test\",\"Prefix\":\"/hold/\",
       \"Kind\":\"non_idempotent\",\"Service\":\"booking\",\"TimeoutMs\":2000,
       \"TargetLatencyMs\":300,\"MaxAttempts\":1}],
    \"Services\":[
      {\"Name\":\"writers\",\"Engine\":{\"Layers\":8,\"LayerMb\":10.0,
       \"KvTokenBytes\":1000,\"usual\":{\"prompt\":100,\"answer\":100},
       \"Models\":[{\"Name\":\"m\"}],
       \"Kinds\":[{\"Name\":\"small\",\"Mb\":60.0,\"pace\":1.0}]}},
      {\"Name\":\"booking\"}],
    \"Tenants\":[{\"Name\":\"volta\",\"ApiKeys\":[\"$2\"]}]}" >/dev/null
}

# Starts an upstream: start_worker NAME PORT POOL [KIND]
start_worker() {
  start_process "$1" "$cluster_bin/standins/fake_layered_worker" \
    --listen "$cluster_net.1:$((cluster_port + $2))" --store "$store" \
    --name "$1" --pool "$3" --data-centre accra-a --slots 8 \
    --token-us 20000 ${4:+--accelerator "$4"}
}
address_of_worker() { curl -sf "http://$store/rows/servers/$1" |
  sed 's/.*"Address":"\([^"]*\)".*/\1/'; }

# Sends a request: send DAEMON ATTEMPT KEY PATH EVENTS [curl arguments...]
send() {
  curl -sN -m 15 -H 'Host: h.test' -H "Attempt-Id: $2" \
    -H "Authorization: Bearer $3" -H 'Deadline-Ms: 12000' \
    -H "Token-Counts: 10,$5" -d body "${@:6}" "http://$(front_of "$1")$4"
}
# Prints the status of a request: status_of DAEMON ATTEMPT KEY PATH EVENTS
status_of() { send "$@" -o "$cluster_dir/last_body" -w '%{http_code}'; }
# Checks the status of a request: is_status STATUS DAEMON ATTEMPT KEY PATH EVENTS
is_status() { [ "$(status_of "${@:2}")" = "$1" ]; }
# Checks that FILE holds the events 1 to COUNT, each once and in order: is_whole
# FILE COUNT
is_whole() {
  [ "$(sed -n 's/^id: //p' "$1")" = "$(seq 1 "$2")" ]
}
# Prints how many orders the daemons have logged as sent.
count_orders() { cat "$cluster_dir"/daemon*.log | grep -c event=order-sent; }

start_process store "$cluster_bin/standins/fake_row_store" --listen "$store"
wait_until curl -sf "http://$store/rows/op/config" || fail "no store"
put_document 3 k1
start_worker left1 201 writers small
start_worker left2 202 writers small
start_worker right1 203 writers small
start_worker right2 204 writers small
start_worker booking1 205 booking
start_worker booking2 206 booking
# daemon2 places the layers and daemon1 serves the streams, so that the placement
# learns of a lost upstream from the store alone.
start_relay 2
wait_until grep -q event=lease-taken "$cluster_dir/daemon2.log" || fail "daemon2 took no lease"
for n in 1 3; do start_relay "$n"; done

wait_until is_status 200 1 first k1 /assist/a 3 || fail "no stream"
is_whole "$cluster_dir/last_body" 3 || fail "the first stream isn't whole"
# A stream over several stages survives the loss of its first stage.
send 1 resumed k1 /assist/a 60 >"$cluster_dir/resumed" &
reader=$!
wait_until grep -q '^id: 10$' "$cluster_dir/resumed" || fail "the stream did not start"
path="$(
  for name in left1 left2 right1 right2; do
    address="$(address_of_worker "$name")"
    [ "$(curl -sf "http://$address/runs?resumed")" -gt 0 ] && echo "$name"
  done)"
[ -n "$path" ] || fail "no upstream runs the stream"
stop_process "$path" KILL
wait "$reader"
is_whole "$cluster_dir/resumed" 60 || fail "the stream is not whole after $path was killed"
grep -hq 'event=stream-resumed.*request=resumed' "$cluster_dir/daemon1.log" ||
  fail "the stream wasn't resumed"

# Non-idempotent work runs once.
[ "$(status_of 2 hold1 k1 /hold/x 0)" = 200 ] || fail "the hold was not answered with 200"
runs=0
for name in booking1 booking2; do
  runs=$((runs + $(curl -sf "http://$(address_of_worker "$name")/runs?hold1")))
done
[ "$runs" = 1 ] || fail "the hold ran $runs times"

# A revoked key is refused by all daemons; the new key is accepted.
put_document 7 k2
for n in $daemons; do
  wait_until is_status 401 "$n" old k1 /assist/a 1 || fail "daemon$n accepted the old key"
  is_status 200 "$n" new k2 /assist/a 1 || fail "daemon$n refused the new key"
done

# A leaving upstream gets no new work.
curl -sf -X PUT "http://$(address_of_worker booking1)/leaving" >/dev/null
# Checks that daemon N logged that booking1 is leaving.
logged_leaving() { grep -q "upstream=booking1.*change=draining\|upstream=booking1.*change=leaving" \
  "$cluster_dir/daemon$1.log"; }
for n in $daemons; do wait_until logged_leaving "$n" || fail "daemon$n did not log that booking1 is leaving"; done
for try in 1 2 3 4 5 6; do
  is_status 200 1 "left$try" k2 /hold/x 0 || fail "no hold while an upstream is leaving"
  [ "$(curl -sf "http://$(address_of_worker booking1)/runs?left$try")" = 0 ] ||
    fail "a leaving upstream got work"
done

# Without the store, keys are refused after the time limit for revocations.
curl -sf -X PUT "http://$store/fault" -d refusing >/dev/null
is_status 200 3 outage k2 /assist/a 1 || fail "keys were refused at the start of the outage"
wait_until is_status 503 3 stale k2 /assist/a 1 || fail "a stale key was accepted"
curl -sf -X PUT "http://$store/fault" -d none >/dev/null
for n in $daemons; do
  wait_until is_status 200 "$n" "back$n" k2 /assist/a 1 || fail "daemon$n refuses keys after the outage"
done

# A planned stop terminates no stream.
send 2 stopped k2 /assist/a 50 >"$cluster_dir/stopped" &
reader=$!
wait_until grep -q '^id: 5$' "$cluster_dir/stopped" || fail "the stream at daemon2 did not start"
stop_process daemon2 TERM || fail "daemon2 ended with status $?"
wait "$reader"
is_whole "$cluster_dir/stopped" 50 || fail "the planned stop terminated a stream"

# After the loss of all daemons the upstreams still hold their layers, and new
# daemons send no orders.
before="$(count_orders)"
for n in 1 3; do stop_process "daemon$n" KILL; done
for n in $daemons; do
  cp "$cluster_dir/daemon$n.log" "$cluster_dir/former$n"
  start_relay "$n"
done
for n in $daemons; do
  wait_until is_status 200 "$n" again k2 /assist/a 3 || fail "daemon$n does not serve again"
done
[ "$(count_orders)" = 0 ] || fail "layers were placed again: $(count_orders) orders, before $before"
