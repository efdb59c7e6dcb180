#include "supervisor/context/leaving_handler.h"

#include "base/overloaded.h"
#include "supervisor/context/log.h"

namespace wisteriayoke {

void HandleLeavingEvent(const DaemonContext& context,
                        const LeavingEvent& event) {
  DaemonState& state = context.state;
  for (const auto& action : state.leaving.Handle(event, context.loop.Now())) {
    std::visit(Overloaded{
                   [&state](const MarkLeaving& mark) {
                     state.upstreams.SetLeaving(mark.upstream, mark.leaving);
                     state.timeline.Record(
                         LogLevel::kInfo,
                         mark.leaving ? EventKind::kUpstreamLeaving
                                      : EventKind::kUpstreamReturned,
                         ResultCode::kOk, {{"upstream", mark.upstream.text()}});
                   },
                   [&state](const AnnounceLeaving& announce) {
                     state.gossip.Post(LeavingUpdate{
                         .upstream = announce.upstream,
                         .list_revision = announce.list_revision});
                   },
               },
               action);
  }
}

}  // namespace wisteriayoke
