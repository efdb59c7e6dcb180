#!/usr/bin/env bash
# A stage of the chain is killed during a stream; the answer must be whole and
# equal to an undisturbed one.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-29000}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Prints a streamed answer of daemon 1: stream PROMPT TOKENS
stream() {
  curl -sN -H 'Wisteriayoke-Workspace: volta' \
    -d "{\"model\":\"summary-7b\",\"prompt\":\"$1\",\"max_tokens\":$2,\"stream\":true}" \
    "http://$(front_of 1)/v1/completions"
}
# Prints the texts and the end mark of the stream in FILE.
texts() { grep -o '"text":"[^"]*"\|\[DONE\]' "$1"; }
token_count() { grep -c '"text":"s' "$1"; }
has_tokens() { [ "$(token_count "$1")" -ge "$2" ]; }
tokens_of() { curl -s "http://$(engine_of "$1")/stats" | sed -n 's/^tokens //p'; }

start_cluster || fail "start"
stream seats 60 >"$cluster_dir/undisturbed"
[ "$(token_count "$cluster_dir/undisturbed")" = 60 ] || fail "the undisturbed answer is not whole"

# Kills the engine of a pair that runs the stream after 20 tokens, and checks the
# answer: kill_stage ENGINE ENGINE
kill_stage() {
  local before victim="$1"
  before="$(tokens_of "$1")"
  stream seats 60 >"$cluster_dir/disturbed" &
  local reader=$!
  wait_until has_tokens "$cluster_dir/disturbed" 20 || fail "the stream did not reach 20 tokens"
  [ "$(tokens_of "$1")" -gt "$before" ] || victim="$2"
  stop_process "engine$victim" KILL
  wait "$reader" || fail "the stream broke"
  diff <(texts "$cluster_dir/undisturbed") <(texts "$cluster_dir/disturbed") ||
    fail "the answer differs after engine$victim was killed"
  grep -q "event=attempt-broke.*culprit=engine$victim" "$cluster_dir/daemon1.log" ||
    fail "no event names engine$victim as the failed engine"
  echo "engine$victim killed mid-stream: 60 tokens, equal to the undisturbed answer"
  start_engine "$victim"
  wait_until curl -sf "http://$(engine_of "$victim")/health" || fail "engine$victim did not restart"
}

kill_stage 1 3
kill_stage 2 4
for n in 1 2 3 4; do
  curl -s "http://$(engine_of "$n")/stats" | tr '\n' ' ' | sed "s/^/engine$n: /"
  echo
done
