#include "supervisor/context/metrics_page.h"

#include <string>
#include <string_view>

#include "base/invariant.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;

std::string Sample(std::string_view name, std::string_view type,
                   std::uint64_t value) {
  const std::string full = "wisteriayoke_" + std::string(name);
  return "# TYPE " + full + " " + std::string(type) + "\n" + full + " " +
         std::to_string(value) + "\n";
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
      state.metrics.Render();
  return page;
}

}  // namespace wisteriayoke
