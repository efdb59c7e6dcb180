#!/usr/bin/env bash
# A planned stop loses no request in flight, is not delayed by idle connections,
# and ends with status 0; a second signal terminates the requests in flight, and
# each termination is logged.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-29800}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Prints a response of daemon N with its header: send N TOKENS STREAM
send() {
  curl -sN -i -H 'Wisteriayoke-Workspace: volta' \
    -d "{\"model\":\"summary-7b\",\"prompt\":\"seats\",\"max_tokens\":$2,\"stream\":$3}" \
    "http://$(front_of "$1")/v1/completions"
}
# Checks that the engines of the first half run COUNT answers: running_is COUNT
running_is() {
  local n sum=0
  for n in 1 3; do
    sum=$((sum + $(curl -s "http://$(engine_of "$n")/stats" | sed -n 's/^running //p')))
  done
  [ "$sum" = "$1" ]
}
# Starts five streams and five whole answers of TOKENS tokens at daemon 1.
start_requests() {
  readers=()
  for i in 1 2 3 4 5; do
    send 1 "$1" true >"$cluster_dir/answer$i" &
    readers+=($!)
    send 1 "$1" false >"$cluster_dir/answer$((i + 5))" &
    readers+=($!)
  done
  wait_until running_is 10 || fail "the requests are not running"
}
wait_for_requests() {
  for reader in "${readers[@]}"; do wait "$reader"; done
}
# Checks that daemon 1 accepts no callers.
refuses() { ! curl -s "http://$(front_of 1)/livez"; }

start_cluster || fail "start"
front="$(front_of 1)"
exec {idle}<>"/dev/tcp/${front%:*}/${front#*:}" || fail "connect"
exec {used}<>"/dev/tcp/${front%:*}/${front#*:}" || fail "connect"
printf 'GET /livez HTTP/1.1\r\nHost: x\r\n\r\n' >&"$used"
read -r -t 5 line <&"$used" || fail "no answer on the kept connection"

start_requests 60
kill -TERM "$(pid_of daemon1)"
wait_until refuses || fail "daemon1 still accepts callers"
kill -0 "$(pid_of daemon1)" || fail "daemon1 ended before its requests"
wait "$(pid_of daemon1)"
status=$?
[ "$status" = 0 ] || fail "the stop ended with status $status"
wait_for_requests
for i in {1..10}; do
  grep -q 's59 ' "$cluster_dir/answer$i" || fail "answer $i is not whole"
done
[ "$(grep -c DONE "$cluster_dir"/answer{1..5} | grep -c ':1')" = 5 ] ||
  fail "a stream has no end"
echo "planned stop: 10 requests in flight, 10 whole answers, status 0"
exec {idle}>&- {used}>&-

start_daemon 1
wait_until curl -sf "http://$(front_of 1)/readyz" || fail "daemon1 is not ready"
start_requests 3000
kill -TERM "$(pid_of daemon1)"
wait_until refuses || fail "daemon1 still accepts callers"
kill -TERM "$(pid_of daemon1)"
wait "$(pid_of daemon1)"
status=$?
[ "$status" = 7 ] || fail "the stop that terminated requests ended with status $status"
wait_for_requests
for i in {1..10}; do
  request="$(sed -n 's/^Wisteriayoke-Request: \([^\r]*\).*/\1/p' "$cluster_dir/answer$i")"
  grep -q "event=request-cut code=706 request=$request\$" "$cluster_dir/daemon1.log" ||
    fail "the termination of \"$request\" is not logged"
  grep -q '"code":706' "$cluster_dir/answer$i" || fail "answer $i does not report its termination"
done
echo "second signal: 10 requests terminated, each logged and reported to its caller"
