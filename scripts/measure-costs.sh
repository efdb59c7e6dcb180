#!/usr/bin/env bash
# Measures the CPU time and memory of one daemon with real processes: per request
# and token, per polled upstream and per workspace, at three or four sizes each.
# Prints "metric=value unit" lines, from which docs/CAPACITY.md is calculated.
cd "$(dirname "$0")/.." || exit 1
CLUSTER_PORT="${CLUSTER_PORT:-30800}"
source scripts/cluster.sh
trap stop_cluster EXIT

upstreams=1 workspaces=0
# Writes tables with $upstreams upstreams and $workspaces additional workspaces.
write_tables() {
  awk -v upstreams="$upstreams" -v workspaces="$workspaces" \
    -v engine1="$(engine_of 1)" -v engine2="$(engine_of 2)" \
    -v service="$service_address" 'BEGIN {
    printf "{\"workspaces\":[{\"name\":\"volta\",\"weight\":1}"
    for (i = 0; i < workspaces; ++i)
      printf ",{\"name\":\"workspace%d\",\"weight\":1}", i
    printf "],\"routes\":[{\"name\":\"assistant\",\"prefix\":\"/v1/\","
    printf "\"pool\":\"assistant\",\"kind\":\"model\",\"deadline_ms\":60000},"
    printf "{\"name\":\"seats\",\"prefix\":\"/seats\",\"pool\":\"booking\","
    printf "\"kind\":\"service\",\"idempotent\":true,\"deadline_ms\":5000}],"
    printf "\"pools\":[{\"name\":\"assistant\",\"kind\":\"model\","
    printf "\"model\":\"m\",\"layers\":32,\"upstreams\":["
    printf "{\"name\":\"engine1\",\"address\":\"%s\",\"data_centre\":\"d\",", engine1
    printf "\"accelerator\":\"a\",\"first_layer\":0,\"end_layer\":16},"
    printf "{\"name\":\"engine2\",\"address\":\"%s\",\"data_centre\":\"d\",", engine2
    printf "\"accelerator\":\"a\",\"first_layer\":16,\"end_layer\":32}]},"
    printf "{\"name\":\"booking\",\"kind\":\"service\",\"upstreams\":["
    for (i = 0; i < upstreams; ++i)
      printf "%s{\"name\":\"service%d\",\"address\":\"%s\",\"slots\":8}", \
        (i ? "," : ""), i, service
    printf "]}]}\n"
  }' >"$cluster_dir/tables.json"
}

# Starts the stand-ins and one daemon, with two engines and one service.
start_one() {
  start_process platform "$cluster_bin/standins/fake_platform" \
    --listen "$platform_address"
  start_process service "$cluster_bin/standins/fake_service" \
    --listen "$service_address"
  start_engine 1
  start_engine 2
  write_tables
  wait_until curl -s "http://$platform_address/" || exit 1
  set_first_tables "$cluster_dir/tables.json"
  start_daemon 1
  wait_until curl -sf "http://$(front_of 1)/readyz" || exit 1
}

# Prints the CPU time that the daemon has used, in ms.
cpu_ms() {
  awk -v ticks="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / ticks}' \
    "/proc/$(pid_of daemon1)/stat"
}
# Prints the resident memory of the daemon in KB.
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/$(pid_of daemon1)/status"; }
wait_seconds() { read -rt "$1" <> <(:) || true; }

# Sends COUNT requests for TOKENS tokens, 8 at a time, over persistent connections.
send_requests() {
  seq "$1" | xargs -P 8 -n 25 sh -c '
    url="$0" body="$1"; shift
    for i in "$@"; do printf "url = \"%s\"\noutput = /dev/null\n" "$url"; done |
      curl -s -K - -H "Wisteriayoke-Workspace: volta" -d "$body"' \
    "http://$(front_of 1)/v1/completions" \
    "{\"model\":\"m\",\"prompt\":\"seats\",\"max_tokens\":$2,\"stream\":true}"
}

# Prints the CPU time of each load beyond the idle daemon's.
measure_load() {
  local before idle
  start_one
  before="$(cpu_ms)"
  wait_seconds 5
  idle="$(awk -v a="$before" -v b="$(cpu_ms)" 'BEGIN {print (b - a) / 5}')"
  for size in "200 1" "400 1" "800 1" "400 10" "400 20" "400 40"; do
    local from to start
    # shellcheck disable=SC2086
    set -- $size
    start="${EPOCHREALTIME/./}" from="$(cpu_ms)"
    send_requests "$1" "$2"
    to="$(cpu_ms)"
    awk -v from="$from" -v to="$to" -v idle="$idle" -v n="$1" -v t="$2" \
      -v seconds="$(((${EPOCHREALTIME/./} - start) / 1000000))" 'BEGIN {
      printf "cpu.requests%d.tokens%d=%.1f ms\n", n, t,
        to - from - idle * seconds }'
  done
  stop_cluster
}

# Prints the CPU time and the memory of an idle daemon: measure_idle NAME
measure_idle() {
  local before
  start_one
  before="$(cpu_ms)"
  wait_seconds 5
  awk -v a="$before" -v b="$(cpu_ms)" -v name="$1" \
    'BEGIN {printf "idle.%s.cpu=%.1f ms/s\n", name, (b - a) / 5}'
  echo "idle.$1.memory=$(rss_kb) KB"
  stop_cluster
}

measure_load
for upstreams in 10 40 160 600; do measure_idle "upstreams$upstreams"; done
upstreams=1
for workspaces in 100 1100 4400; do measure_idle "workspaces$workspaces"; done
