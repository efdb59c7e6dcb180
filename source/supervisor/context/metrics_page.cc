#include "supervisor/context/metrics_page.h"

#include <string>
#include <string_view>

#include "base/invariant.h"
#include "supervisor/context/log.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;

std::string Sample(std::string_view name, std::string_view type,
                   std::uint64_t value) {
  const std::string full = "wisteriayoke_" + std::string(name);
  return "# TYPE " + full + " " + std::string(type) + "\n" + full + " " +
         std::to_string(value) + "\n";
}

/// Describes the relay; nothing while it has no tables. Names come from the
/// operator's document alone, never from callers.
std::string DescribeRelay(const RelayState& relay) {
  if (!relay.tables) return "";
  std::string text =
      Sample("relay_upstreams", "gauge", relay.fleet.entries().size());
  text += "# TYPE wisteriayoke_retry_budget gauge\n";
  for (const auto& [pool, budget] : relay.budgets) {
    text += "wisteriayoke_retry_budget{pool=\"" + pool.text() + "\"} " +
            std::to_string(budget.balance()) + "\n";
  }
  return text;
}

}  // namespace

HttpResponse BuildMetricsPage(const DaemonState& state) {
  HttpResponse page;
  page.head.status = kStatusOk;
  page.head.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  page.body =
      Sample("ready", "gauge", state.ready() ? 1 : 0) +
      Sample("tables_version", "gauge", state.version.number) +
      Sample("requests_total", "counter", state.requests_started) +
      Sample("invariants_broken_total", "counter", CountBrokenInvariants()) +
      Sample("log_lines_dropped_total", "counter", CountDroppedLogLines()) +
      DescribeRelay(state.relay) + state.metrics.Render();
  return page;
}

}  // namespace wisteriayoke
