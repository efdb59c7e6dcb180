#!/usr/bin/env bash
# CONFIG: the operator takes the last tenant's key away. Requests with this key run
# later than RevokeMs after that. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
trouble="${TROUBLE:-1}"  # With TROUBLE=0 there is no disruption.
source ../standins-3/cluster.sh

start_store
# config VERSION TENANTS: the operator's configuration.
config() {
  cat >"$work/config.json" <<JSON
{"Version":$1,
 "Routes":[{"Name":"seats","Host":"booking.test","Prefix":"/seats/",
   "Kind":"idempotent","Service":"booking-app","TimeoutMs":1500,
   "TargetLatencyMs":300,"Priority":2,"MaxAttempts":2,"AllowAnonymous":false}],
 "Services":[{"Name":"booking-app","HealthPath":"/health","MaxConnections":110,
   "Protocol":"h1","Tls":false}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":$2}
JSON
  put_config "$work/config.json"
}
config 2 '[{"Name":"kiosks","ApiKeys":["kiosks-key-1"]}]'
start_worker i-1 booking-app accra-a 21 --slots 6
start_worker i-2 booking-app accra-b 22 --slots 6
start_worker i-3 booking-app accra-c 23 --slots 6
start_daemon 11 accra-a
start_daemon 12 accra-a
start_daemon 13 accra-b
start_daemon 14 accra-c
for n in 11 12 13 14; do
  wait_for 15 is_ready "$n" || cannot_run "edge-$n isn't ready"
done
sleep 2

all="$(front_of 11),$(front_of 12),$(front_of 13),$(front_of 14)"
start callers "$lab" callers --name kiosks --fronts "$all" --path /seats/ \
  --unique 1 --count 8 --rate 1 --for-s 25 --host booking.test \
  --key kiosks-key-1 --deadline-ms 1500 --log "$work/kiosks.log"
# One requester has a key that no configuration ever held.
start strangers "$lab" callers --name strangers --fronts "$all" --path /seats/ \
  --unique 1 --count 1 --rate 1 --for-s 25 --host booking.test \
  --key never-held-key --deadline-ms 1500 --log "$work/strangers.log"
sleep 6
note "the configuration changes"
if [ "$trouble" = 0 ]; then
  # Another version, which leaves the key.
  config 5 '[{"Name":"kiosks","ApiKeys":["kiosks-key-1"]}]'
else
  # The customer is taken away, and its key with it.
  config 5 '[]'
fi
note "confirmed"
sleep 21

sed 's/^\([0-9]*\) /\1 requester /' "$work/kiosks.log" >>"$record"
sed 's/^\([0-9]*\) /\1 stranger /' "$work/strangers.log" >>"$record"
for n in 1 2 3; do
  sed "s/^\([0-9]*\) /\1 worker i-$n /" "$work/runs-i-$n.log" >>"$record"
done
sort -s -n -o "$record" "$record"

confirmed="$(awk '$2 == "confirmed" { print $1 }' "$record")"
before="$(awk -v at="$confirmed" '$2 == "worker" && $4 == "run" && $1 < at' "$record" | wc -l)"
[ "$before" -gt 20 ] || cannot_run "hardly anything was served"
# Requests with the key sent later than RevokeMs after the confirmation that run.
late="$(awk -v from=$((confirmed + 5000)) '
  $2 == "requester" && $3 == "send" { sent[$4] = $1 }
  $2 == "worker" && $4 == "run" && sent[$5] > from' "$record" | wc -l)"
strange="$(awk '
  $2 == "stranger" && $3 == "send" { sent[$4] = $1 }
  $2 == "worker" && $4 == "run" && sent[$5]' "$record" | wc -l)"
{
  echo "runs before the change: $before; of requests sent later than 5000 ms after it: $late"
  echo "runs with a key that no configuration ever held (ROUTE): $strange"
} | tee -a "$record"
# In the run without the disruption, the key is still held.
[ "$trouble" = 0 ] && exit $((late > 20 ? 0 : 2))
[ "$late" -gt 0 ] && exit 1
exit 0
