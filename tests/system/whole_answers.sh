#!/usr/bin/env bash
# Engines that send wrong, repeated or no tokens, or end too early, must not
# change an answer. When a caller disconnects, the engines must stop working on
# its request.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-29200}"
source scripts/cluster.sh
trap stop_cluster EXIT

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

body() {
  printf '{"model":"summary-7b","prompt":"seats","max_tokens":%s,"stream":%s}' \
    "$1" "$2"
}
# Prints an answer of daemon 2, streamed if STREAM is true: complete TOKENS STREAM
complete() {
  curl -sN -H 'Wisteriayoke-Workspace: volta' -d "$(body "$1" "$2")" \
    "http://$(front_of 2)/v1/completions"
}
# Prints the texts and the end mark of the answer in FILE.
texts() { grep -o '"text":"[^"]*"\|\[DONE\]' "$1"; }
# Prints the count NAME of engine N: stat_of N NAME
stat_of() { curl -s "http://$(engine_of "$1")/stats" | sed -n "s/^$2 //p"; }
set_faults() { curl -sf -d "$2" "http://$(engine_of "$1")/faults" >/dev/null; }
# Checks that engines 1 and 3 run COUNT answers: running_is COUNT
running_is() { [ $(($(stat_of 1 running) + $(stat_of 3 running))) = "$1" ]; }

start_cluster || fail "start"
complete 20 true >"$cluster_dir/stream"
complete 20 false >"$cluster_dir/whole"

for fault in wrong-attempt skip-layer repeat-token early-end cut-stream hang; do
  set_faults 1 "{\"$fault\":7}" && set_faults 3 "{\"$fault\":11}" || fail "faults"
  complete 20 true >"$cluster_dir/$fault.stream"
  diff <(texts "$cluster_dir/stream") <(texts "$cluster_dir/$fault.stream") ||
    fail "$fault changed a streamed answer"
  set_faults 1 '{}' && set_faults 3 "{\"$fault\":5}" || fail "faults"
  complete 20 false >"$cluster_dir/$fault.whole"
  diff <(texts "$cluster_dir/whole") <(texts "$cluster_dir/$fault.whole") ||
    fail "$fault changed a whole answer"
  set_faults 3 '{}'
  echo "$fault: both answers equal to the undisturbed ones"
done
[ "$(grep -c event=attempt-broke "$cluster_dir/daemon2.log")" -ge 6 ] ||
  fail "the faults broke fewer than 6 attempts"

curl -sN -H 'Wisteriayoke-Workspace: volta' -d "$(body 5000 true)" \
  "http://$(front_of 2)/v1/completions" >"$cluster_dir/left" &
reader=$!
wait_until running_is 1 || fail "the engine does not run the request"
kill "$reader"
wait "$reader" 2>/dev/null
wait_until running_is 0 || fail "the engine still runs after the caller disconnected"
echo "caller disconnected: the engines stopped"
