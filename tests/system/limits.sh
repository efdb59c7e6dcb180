#!/usr/bin/env bash
# Input over a limit, slow callers and malformed input get a numbered error and
# affect no other request.
export CLUSTER_PORT="${CLUSTER_PORT:-31000}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

start_cluster || fail "start"
stop_process daemon1
write_config 1
sed -i '/^\[front\]/a max_connections = 8\nrequest_timeout_ms = 500\nmax_body_bytes = 4096' \
  "$cluster_dir/daemon1.ini"
start_process daemon1 "$cluster_bin/daemon/wisteriayoked" \
  --config "$cluster_dir/daemon1.ini"
front="$(front_of 1)"
wait_until curl -sf "http://$front/readyz" || fail "daemon1 is not ready"

# Sends BYTES unchanged and prints the status line and the code of the answer.
send_bytes() {
  exec 9<>"/dev/tcp/${front%:*}/${front#*:}" || return 1
  printf "$1" >&9
  timeout 5 cat <&9 | tr -d '\r' | grep -aE '^HTTP|^Wisteriayoke-Code'
  exec 9>&-
}

# Checks that ANSWER has CODE: expect DESCRIPTION CODE ANSWER
expect() {
  local what="$1" code="$2" answer="$3"
  [[ "$answer" == *"Wisteriayoke-Code: $code"* ]] ||
    fail "$what: expected code $code, got: $answer"
}

# A stream that runs while all the invalid input is sent; it must end whole.
curl -sN -H 'Wisteriayoke-Workspace: volta' \
  -d '{"model":"summary-7b","prompt":"x","max_tokens":600,"stream":true}' \
  "http://$front/v1/completions" >"$cluster_dir/stream" &
stream=$!
wait_until grep -q x0 "$cluster_dir/stream" || fail "the stream did not start"

expect "not HTTP" 101 "$(send_bytes 'hello there\r\n\r\n')"
long="$(printf 'a%.0s' {1..20000})"
expect "long header" 103 "$(send_bytes "GET / HTTP/1.1\r\nA: $long\r\n\r\n")"
expect "long body" 104 "$(curl -s -i -d "$long" "http://$front/v1/x")"
expect "slow header" 110 "$(send_bytes 'GET / HTTP/1.1\r\nA: ')"
expect "slow body" 110 \
  "$(send_bytes 'POST /v1/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc')"
completions="http://$front/v1/completions"
expect "not JSON" 102 "$(curl -s -i -H 'Wisteriayoke-Workspace: volta' \
  -d '{"model":' "$completions")"
expect "wrong type" 107 "$(curl -s -i -H 'Wisteriayoke-Workspace: volta' \
  -d '{"prompt":7}' "$completions")"
expect "not UTF-8" 106 "$(curl -s -i -H $'Wisteriayoke-Workspace: \xff\xfe' \
  -d '{}' "$completions")"

idle=()
for _ in 1 2 3 4 5 6 7; do
  exec {fd}<>"/dev/tcp/${front%:*}/${front#*:}" || fail "connect"
  idle+=("$fd")
done
expect "too many connections" 111 "$(curl -s -i "http://$front/livez")"
for fd in "${idle[@]}"; do exec {fd}>&-; done

wait "$stream" || fail "the stream broke"
grep -q 'x599 ' "$cluster_dir/stream" || fail "the stream is not whole"
grep -q 'DONE' "$cluster_dir/stream" || fail "the stream has no end"
curl -sf "http://$front/readyz" >/dev/null || fail "daemon1 is not ready"
