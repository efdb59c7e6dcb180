#include "supervisor/context/fleet_leaving.h"

#include "supervisor/context/log.h"

namespace wisteriayoke {
namespace {

/// Returns whether the announcement is new.
bool Apply(const DaemonContext& context, const LeavingUpdate& update,
           const char* source) {
  DaemonState& state = context.state;
  const bool is_new = state.relay.fleet.RecordLeaving(
      update.upstream, update.started_ms, context.loop.Now());
  if (!is_new) return false;
  state.timeline.Record(LogLevel::kInfo, EventKind::kUpstreamLeaving,
                        ResultCode::kOk,
                        {{"upstream", update.upstream.text()},
                         {"source", source},
                         {"started_ms", std::to_string(update.started_ms)},
                         {"age_us", std::to_string(update.age.count())}});
  return true;
}

}  // namespace

void RecordLeaving(const DaemonContext& context, const UpstreamName& upstream,
                   std::uint64_t started_ms) {
  const LeavingUpdate update{.upstream = upstream, .started_ms = started_ms};
  if (Apply(context, update, "answer")) context.state.gossip.Post(update);
}

GossipExchange::Subscription FollowLeaving(const DaemonContext& context) {
  return context.state.gossip.Subscribe([context](const GossipUpdate& update) {
    if (const auto* leaving = std::get_if<LeavingUpdate>(&update)) {
      Apply(context, *leaving, "peer");
    }
  });
}

}  // namespace wisteriayoke
