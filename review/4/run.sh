#!/usr/bin/env bash
# The operator takes a tenant's key away. A connected requester goes on with it on
# a route that also takes requests without a key. Later than RevokeMs after the
# confirmation no request with that key may run.
source "$(dirname "$0")/../common.sh"
routes_extra='{"Name":"info","Host":"h.example","Prefix":"/info/",
  "Kind":"idempotent","Service":"booking-app","TimeoutMs":1500,
  "TargetLatencyMs":300,"MaxAttempts":1,"AllowAnonymous":true},'
start_all 2
# Sends a request with the key k1: ask DAEMON PATH ATTEMPT; prints the status.
ask() {
  curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
    -H "Attempt-Id: $3" -H 'Authorization: Bearer k1' -H 'Deadline-Ms: 1500' \
    "http://$(front_of "$1")$2"
}
note "before: GET /info/a with k1: $(ask 1 /info/a before1), POST /hold/a with k1: $(send 1 /hold/a before2 0 -o /dev/null -w '%{http_code}')"
new_key=k1
[ "$trouble" = 0 ] || new_key=k2
put_config 9 "$new_key" >/dev/null || give_up "no new configuration"
confirmed="$(date +%s%N)"
note "the store confirms version 9: the tenant's only key is $new_key"
sleep 6
late=0
for n in 1 2; do
  for ((i = 1; i <= 5; ++i)); do
    age=$((($(date +%s%N) - confirmed) / 1000000))
    status="$(ask "$n" /info/a "late$n-$i")"
    runs="$(holds_of "late$n-$i")"
    [ "$new_key" = k1 ] || late=$((late + runs))
    note "sent $age ms after the confirmation to daemon $n: GET /info/a Attempt-Id late$n-$i with the key k1: status $status, runs: $runs"
  done
  note "daemon $n, the same key on the other route: POST /hold/a: status $(send "$n" /hold/a "other$n" 0 -o /dev/null -w '%{http_code}'), runs: $(holds_of "other$n")"
done
note "requests with a key that was taken away more than 5 s ago and that ran: $late of 10"
echo "requests with the revoked key that ran: $late of 10"
[ "$late" = 0 ] || exit 1
