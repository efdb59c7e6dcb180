#!/usr/bin/env bash
# More requests than slots: excess requests are refused at once as not run and
# with a Retry-After; admitted ones are answered whole. Long answers are suspended
# in favour of a short one and end whole.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-30400}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Requests TOKENS tokens from daemon 1 and saves the response: request NAME TOKENS
request() {
  curl -s -D "$cluster_dir/$1.head" -o "$cluster_dir/$1.body" \
    -w '%{http_code} %{time_total}\n' -H 'Wisteriayoke-Workspace: volta' \
    -d "{\"model\":\"summary-7b\",\"prompt\":\"$1\",\"max_tokens\":$2}" \
    "http://$(front_of 1)/v1/completions" >"$cluster_dir/$1.result"
}
# Checks that the answer NAME has TOKENS tokens: is_whole NAME TOKENS
is_whole() { grep -q "\"completion_tokens\":$2\b" "$cluster_dir/$1.body"; }
has_event() { grep -q "$1" "$cluster_dir/daemon1.log"; }
# Sends a request in the background: start_request NAME TOKENS
start_request() {
  request "$1" "$2" &
  readers+=("$!")
}

start_cluster || fail "start"
for i in 1 2 3 4 5; do request "first$i" 40; done

readers=()
for i in $(seq 200); do start_request "crowd$i" 40; done
wait "${readers[@]}"
admitted=0 refused=0 slow=0
for i in $(seq 200); do
  read -r status seconds <"$cluster_dir/crowd$i.result"
  case "$status" in
    200)
      is_whole "crowd$i" 40 || fail "crowd$i isn't whole"
      admitted=$((admitted + 1))
      ;;
    429)
      grep -qi '^Wisteriayoke-Outcome: not-run' "$cluster_dir/crowd$i.head" ||
        fail "crowd$i was refused without its outcome"
      grep -qi '^Retry-After: [1-9]' "$cluster_dir/crowd$i.head" ||
        fail "crowd$i was refused without a delay"
      refused=$((refused + 1))
      # curl's time includes the scheduling of 200 processes on one machine.
      [ "${seconds%%.*}" = 0 ] || slow=$((slow + 1))
      ;;
    *) fail "crowd$i got $status" ;;
  esac
done
echo "admitted=$admitted refused=$refused refused_after_1s=$slow"
[ "$refused" -gt 0 ] || fail "nothing was refused"
[ "$admitted" -gt 20 ] || fail "only $admitted were admitted"
[ "$slow" = 0 ] || fail "$slow refusals took a second or longer"
for i in $(seq 200); do
  read -r status _ <"$cluster_dir/crowd$i.result"
  [ "$status" = 429 ] || continue
  grep -q "Wisteriayoke-Request" "$cluster_dir/crowd$i.head" || fail "crowd$i was refused without its request id"
done
has_event overloaded || fail "the log has no event overloaded"

readers=()
for i in $(seq 30); do start_request "long$i" 400; done
request short 5
is_whole short 5 || fail "the short answer isn't whole"
read -r _ short_seconds <"$cluster_dir/short.result"
wait "${readers[@]}"
for i in $(seq 30); do
  is_whole "long$i" 400 || fail "long$i isn't whole"
done
has_event suspended || fail "no long answer was suspended"
echo "short answer beside 30 long ones: $short_seconds s"
