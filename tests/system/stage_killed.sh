#!/usr/bin/env bash
# A stage of the chain is killed in the middle of a stream; the answer must be
# whole and equal to one that was not disturbed.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-29000}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Prints the texts of a streamed answer from daemon 1: stream PROMPT TOKENS
stream() {
  curl -sN -H 'Wisteriayoke-Workspace: volta' \
    -d "{\"model\":\"summary-7b\",\"prompt\":\"$1\",\"max_tokens\":$2,\"stream\":true}" \
    "http://$(front_of 1)/v1/completions"
}
texts() { grep -o '"text":"[^"]*"\|\[DONE\]' "$1"; }
token_count() { grep -c '"text":"s' "$1"; }
has_tokens() { [ "$(token_count "$1")" -ge "$2" ]; }
tokens_of() { curl -s "http://$(engine_of "$1")/stats" | sed -n 's/^tokens //p'; }

start_cluster || fail "start"
stream seats 60 >"$cluster_dir/undisturbed"
[ "$(token_count "$cluster_dir/undisturbed")" = 60 ] || fail "undisturbed answer"

# Kills the engine of the pair ($1 $2) that runs the stream, with 20 tokens out.
kill_stage() {
  local before victim="$1"
  before="$(tokens_of "$1")"
  stream seats 60 >"$cluster_dir/disturbed" &
  local reader=$!
  wait_until has_tokens "$cluster_dir/disturbed" 20 || fail "no stream"
  [ "$(tokens_of "$1")" -gt "$before" ] || victim="$2"
  stop_process "engine$victim" KILL
  wait "$reader" || fail "the stream broke"
  diff <(texts "$cluster_dir/undisturbed") <(texts "$cluster_dir/disturbed") ||
    fail "the answer differs after engine$victim was killed"
  grep -q "event=attempt-broke.*culprit=engine$victim" "$cluster_dir/daemon1.log" ||
    fail "engine$victim was not found to be the culprit"
  echo "engine$victim killed mid-stream: 60 tokens, equal to the undisturbed answer"
  start_engine "$victim"
  wait_until curl -sf "http://$(engine_of "$victim")/health" || fail "restart"
}

kill_stage 1 3
kill_stage 2 4
for n in 1 2 3 4; do
  curl -s "http://$(engine_of "$n")/stats" | tr '\n' ' ' | sed "s/^/engine$n: /"
  echo
done
