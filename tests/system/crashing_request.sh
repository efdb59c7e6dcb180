#!/usr/bin/env bash
# A request that crashes each engine that runs it costs at most two engines; all
# other requests are answered whole, and resends of it are refused.
cd "$(dirname "$0")/../.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-29600}"
source scripts/cluster.sh

fail() {
  echo "FAILED: $*; logs are in $cluster_dir" >&2
  exit 1
}

# Stops the cluster and the two additional engines.
stop_all() {
  stop_process engine5
  stop_process engine6
  stop_cluster
}
trap stop_all EXIT
# With six engines, each half of the model's layers is held by three.
start_engine 5
start_engine 6
eval "$(declare -f write_tables | sed '1s/write_tables/write_four_engines/')"
# Writes the tables with engines 5 and 6 added.
write_tables() {
  write_four_engines
  local n first end
  for n in 5 6; do
    first=$((n == 5 ? 0 : 16)) end=$((n == 5 ? 16 : 32))
    sed -i "0,/\"upstreams\": \[/s//&\n{\"name\":\"engine$n\",\"address\":\"$(engine_of "$n" | sed 's/[.]/\\./g')\",\"data_centre\":\"accra-3\",\"accelerator\":\"a\",\"first_layer\":$first,\"end_layer\":$end},/" \
      "$cluster_dir/tables.json"
  done
}

# Sends PROMPT to daemon N and prints the response with its header: send N PROMPT
send() {
  curl -s -i -H 'Wisteriayoke-Workspace: volta' \
    -d "{\"model\":\"summary-7b\",\"prompt\":\"$2\",\"max_tokens\":40}" \
    "http://$(front_of "$1")/v1/completions"
}
# Prints how many engines are alive.
count_alive() {
  local n count=0
  for n in 1 2 3 4 5 6; do kill -0 "$(pid_of "engine$n")" 2>/dev/null && count=$((count + 1)); done
  echo "$count"
}

start_cluster || fail "start"
readers=()
for i in 1 2 3 4 5 6 7 8; do
  send 1 "innocent$i" >"$cluster_dir/innocent$i" &
  readers+=($!)
done
culprits=()
for n in 1 3; do
  send "$n" "poison crash-at-6 " >"$cluster_dir/culprit$n" &
  culprits+=($!)
done
for culprit in "${culprits[@]}"; do wait "$culprit" || fail "a crashing request got no answer"; done
for n in 1 3; do
  grep -q 'Wisteriayoke-Code: \(206\|307\)' "$cluster_dir/culprit$n" ||
    fail "crashing request at daemon$n: $(cat "$cluster_dir/culprit$n")"
done
for reader in "${readers[@]}"; do wait "$reader" || fail "a harmless request got no answer"; done
for i in 1 2 3 4 5 6 7 8; do
  grep -q '"text":"i0 .* i39 "' "$cluster_dir/innocent$i" ||
    fail "harmless request $i: $(cat "$cluster_dir/innocent$i")"
done
echo "8 harmless requests answered whole, the crashing one refused at both daemons"

for n in 1 2 3 4; do
  answer="$(send "$n" "poison crash-at-6 ")"
  [[ "$answer" == *"Wisteriayoke-Code: 206"* ]] || fail "resend: $answer"
  [[ "$answer" == *"Wisteriayoke-Outcome: not-run"* ]] || fail "resend: $answer"
done
echo "resends to all four daemons refused as not run"
[ "$(count_alive)" -ge 4 ] || fail "$((6 - $(count_alive))) engines were lost"
echo "engines lost: $((6 - $(count_alive)))"
