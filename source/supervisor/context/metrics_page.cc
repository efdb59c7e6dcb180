#include "supervisor/context/metrics_page.h"

#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/fault.h"
#include "base/invariant.h"
#include "supervisor/context/log.h"
#include "supervisor/context/memory_report.h"
#include "supervisor/context/metrics_text.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;
/// Age in seconds that is reported while none is known.
constexpr double kUnknownAge = -1;

/// Returns the type and the only sample of a metric with a whole value.
std::string Sample(std::string_view name, std::string_view type,
                   std::uint64_t value) {
  return MetricSample(name, type, std::to_string(value));
}

/// Returns the number of upstreams by pool and health and the requests in
/// flight by pool, for the pools of the tables: an entry may name any.
std::string DescribeUpstreams(const DaemonState& state, TimePoint now) {
  std::map<std::string, std::uint64_t> by_health;
  std::map<std::string, std::uint64_t> in_flight;
  for (const auto& [name, entry] : state.relay.fleet.entries()) {
    if (state.relay.tables->FindPool(entry.pool) == nullptr) continue;
    const std::string pool = MetricLabel("pool", entry.pool.text());
    const auto health = kUpstreamHealthNames.NameOf(
        state.upstreams.HealthOf(entry.upstream.name, now));
    ++by_health[pool + "," + MetricLabel("health", health)];
    in_flight[pool] += state.upstreams.StateOf(entry.upstream.name).in_flight;
  }
  std::string text = MetricType("relay_upstreams", "gauge");
  for (const auto& [labels, count] : by_health) {
    text += MetricLine("relay_upstreams", labels, std::to_string(count));
  }
  text += MetricType("relay_in_flight", "gauge");
  for (const auto& [labels, count] : in_flight) {
    text += MetricLine("relay_in_flight", labels, std::to_string(count));
  }
  return text;
}

/// Returns the work of this daemon's requests in pools that are routed by cost.
std::string DescribeWork(const RelayState& relay) {
  if (relay.costs.empty()) return "";
  std::map<std::string, WorkAmount> by_pool;
  for (const auto& [name, entry] : relay.fleet.entries()) {
    if (!relay.costs.contains(entry.pool)) continue;
    const WorkAmount own = relay.work.OwnOf(entry.upstream.name);
    WorkAmount& sum = by_pool[MetricLabel("pool", entry.pool.text())];
    sum.now += own.now;
    sum.at_end += own.at_end;
  }
  std::string text = MetricType("relay_work", "gauge");
  for (const auto& [pool, sum] : by_pool) {
    const std::string labels = pool + ",";
    text += MetricLine("relay_work", labels + MetricLabel("when", "now"),
                       std::to_string(std::llround(sum.now))) +
            MetricLine("relay_work", labels + MetricLabel("when", "end"),
                       std::to_string(std::llround(sum.at_end)));
  }
  return text;
}

std::string DescribeBudgets(const RelayState& relay) {
  std::string text = MetricType("retry_budget", "gauge");
  for (const auto& [pool, budget] : relay.budgets) {
    text += MetricLine("retry_budget", MetricLabel("pool", pool.text()),
                       std::to_string(budget.balance()));
  }
  return text;
}

/// Returns the number of requests that wait for a place, by pool.
std::string DescribePlaces(const RelayState& relay) {
  std::string text = MetricType("relay_waiting", "gauge");
  for (const auto& [pool, places] : relay.places) {
    const auto ranked = relay.ranked_queues.find(pool);
    const std::size_t waiting =
        places.waiting() +
        (ranked == relay.ranked_queues.end() ? 0 : ranked->second.waiting());
    text += MetricLine("relay_waiting", MetricLabel("pool", pool.text()),
                       std::to_string(waiting));
  }
  return text;
}

std::string AgeSample(std::string_view name, std::optional<Duration> age) {
  const double age_s =
      age ? std::chrono::duration<double>(*age).count() : kUnknownAge;
  return MetricSample(name, "gauge", std::to_string(age_s));
}

/// Returns the relay's metrics; nothing while it has no tables. Names come only
/// from the operator's document, never from callers.
std::string DescribeRelay(const DaemonContext& context) {
  const DaemonState& state = context.state;
  const RelayState& relay = state.relay;
  if (!relay.tables) return "";
  const TimePoint now = context.loop.Now();
  std::optional<Duration> entries_age;
  if (relay.entries_confirmed) entries_age = now - *relay.entries_confirmed;
  return AgeSample("tables_age_seconds",
                   relay.freshness.AgeAt(context.loop.BootNow())) +
         AgeSample("entries_age_seconds", entries_age) +
         Sample("upstreams_unreachable", "gauge", relay.reach.lost() ? 1 : 0) +
         Sample("follows_store", "gauge", relay.follows_store ? 1 : 0) +
         Sample("tables_head", "gauge",
                relay.mirrors.tables.view().head.number()) +
         Sample("entries_head", "gauge",
                relay.mirrors.entries.view().head.number()) +
         Sample("store_era", "gauge", relay.mirrors.tables.view().head.era()) +
         DescribePlaces(relay) +
         Sample("peers", "gauge", state.peer_loads.CountPeers()) +
         Sample("suspect_requests", "gauge", state.quarantine.CountSuspects()) +
         DescribeUpstreams(state, now) + DescribeBudgets(relay) +
         DescribeWork(relay) + relay.metrics.Render();
}

}  // namespace

HttpResponse BuildMetricsPage(const DaemonContext& context) {
  const DaemonState& state = context.state;
  HttpResponse page;
  page.head.status = kStatusOk;
  page.head.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  page.body =
      Sample("ready", "gauge", state.ready() ? 1 : 0) +
      Sample("tables_version", "gauge", state.version.number) +
      Sample("requests_total", "counter", state.requests_started) +
      Sample("invariants_broken_total", "counter", CountBrokenInvariants()) +
      Sample("faults_caught_total", "counter", CountFaults()) +
      Sample("log_lines_dropped_total", "counter", CountDroppedLogLines()) +
      DescribeMemory(context.loop.memory().budget()) + DescribeRelay(context) +
      state.metrics.Render();
  return page;
}

}  // namespace wisteriayoke
