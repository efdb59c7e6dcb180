#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_FLEET_LEAVING_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_FLEET_LEAVING_H_

#include <cstdint>

#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Records that a registered upstream announced in an answer that it is leaving
/// in the run that started at `started_ms`, and tells the peers if that is new.
void RecordLeaving(const DaemonContext& context, const UpstreamName& upstream,
                   std::uint64_t started_ms);

/// Applies such announcements from peers for as long as the subscription is
/// held.
[[nodiscard]] GossipExchange::Subscription FollowLeaving(
    const DaemonContext& context);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_FLEET_LEAVING_H_
