#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_TARGET_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_TARGET_H_

#include <optional>
#include <set>
#include <string>

#include "decisions/chain.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

struct RelayedRequest;

/// Destination of one attempt.
struct RelayTarget {
  UpstreamName upstream;  ///< Upstream that gets the request.
  Endpoint endpoint;
  Chain chain;                   ///< All stages; empty for plain services.
  std::uint64_t started_ms = 0;  ///< Start of the upstream's run, Unix ms.

  /// Returns every upstream that works on the attempt.
  std::vector<UpstreamName> ListUpstreams() const;

  /// Returns the upstreams with their layers, for logs.
  std::string Describe() const;
};

/// A target, or the reason why there is none.
struct TargetChoice {
  std::optional<RelayTarget> target;
  ResultCode code = ResultCode::kNoUpstream;
};

/// Chooses where to send a request for `pool`, without `excluded`; a plain
/// service falls back to these if no other upstream is usable. The stages read
/// `tokens` tokens before the first new one. Where requests are routed by cost,
/// `request` is one to send, or one like it. Only `room_share` of the room of
/// an upstream of a model is used.
TargetChoice ChooseTarget(const DaemonContext& context, const RelayPool& pool,
                          const std::set<UpstreamName>& excluded, double tokens,
                          const RelayedRequest& request,
                          double room_share = 1.0);

/// Returns after what time a caller that was refused for want of an upstream
/// should retry: when the first upstream of `pool` wants work again if all
/// asked for none, else kRetryAfter.
Duration ComputeRetryDelay(const DaemonContext& context, const PoolName& pool);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_TARGET_H_
