#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_SEGMENT_GUARD_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_SEGMENT_GUARD_H_

#include <string>
#include <vector>

#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/relayed_request.h"

namespace wisteriayoke {

/// Applies the peers' gossip updates about prompt segments for as long as the
/// subscription is held.
[[nodiscard]] GossipExchange::Subscription FollowSegments(
    const DaemonContext& context);

/// Connects one request with the daemon's quarantine of prompt segments:
/// reports the events of the request to it, and passes the results to the peers
/// and the timeline.
class SegmentGuard {
 public:
  SegmentGuard(DaemonContext context, const RelayedRequest& request);

  /// Returns whether the request must not be sent now.
  bool Blocks();

  /// Returns whether an attempt whose answer hasn't begun must end.
  bool MustStop() const;

  /// Records that `upstream`, to which the request was sent at `sent_at`,
  /// crashed before any answer to the request began.
  void HandleCrash(const UpstreamName& upstream, TimePoint sent_at);

  /// Records that the answer of an attempt began.
  void HandleBegun();

  /// Records that the request has ended.
  void HandleEnd();

 private:
  SegmentQuarantine& Segments() const { return context_.state.relay.segments; }

  DaemonContext context_;
  RequestId request_;
  std::string attempt_id_;  ///< The caller's id, for logs.
  std::vector<SegmentId> segments_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_SEGMENT_GUARD_H_
