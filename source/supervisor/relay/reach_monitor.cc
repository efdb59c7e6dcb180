#include "supervisor/relay/reach_monitor.h"

#include <utility>

#include "platform/fleet_codec.h"

namespace wisteriayoke {
namespace {

/// Timeout of a probe, many times what an answer takes.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
constexpr std::uint64_t kMaxReportBytes = 256 * 1024;

}  // namespace

void RecordReach(const DaemonContext& context, const UpstreamName& upstream,
                 TimePoint begun, const FetchResult& result) {
  UpstreamReach& reach = context.state.relay.reach;
  if (result.code == ResultCode::kOk) return reach.RecordAnswer(begun);
  if (!result.sent) reach.RecordFailure(upstream, begun);
}

bool ReachMonitor::Update() {
  UpstreamReach& reach = context_.state.relay.reach;
  for (const auto& name : reach.Update(ListUpstreams(), context_.loop.Now())) {
    Probe(name);
  }
  if (reach.lost() == std::exchange(lost_, reach.lost())) return false;
  context_.state.timeline.Record(
      lost_ ? LogLevel::kWarning : LogLevel::kInfo,
      lost_ ? EventKind::kUpstreamsUnreachable : EventKind::kUpstreamsReachable,
      lost_ ? ResultCode::kConnectFailed : ResultCode::kOk,
      {{"failed", std::to_string(reach.CountFailed())}});
  return lost_;
}

/// Returns the upstreams that may be probed: not those that want no work.
std::vector<UpstreamName> ReachMonitor::ListUpstreams() const {
  const TimePoint now = context_.loop.Now();
  const DaemonState& state = context_.state;
  std::vector<UpstreamName> names;
  for (const auto& [name, entry] : state.relay.fleet.entries()) {
    if (state.upstreams.HoldOffLeft(name, now) > Duration::zero()) continue;
    names.push_back(name);
  }
  return names;
}

void ReachMonitor::Probe(const UpstreamName& upstream) const {
  const FleetEntry* entry = context_.state.relay.fleet.Find(upstream);
  if (entry == nullptr) return;
  const HttpCallLimits limits{.message = {.body_bytes = kMaxReportBytes},
                              .connect_timeout = kProbeTimeout,
                              .idle_timeout = kProbeTimeout,
                              .total_timeout = kProbeTimeout};
  FetchResponse(context_.loop, entry->upstream.endpoint, BuildReportRequest(),
                limits,
                [context = context_, upstream,
                 begun = context_.loop.Now()](const FetchResult& result) {
                  RecordReach(context, upstream, begun, result);
                  if (result.code != ResultCode::kOk) return;
                  context.state.upstreams.Restore(upstream);
                });
}

}  // namespace wisteriayoke
