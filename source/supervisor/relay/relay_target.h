#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_TARGET_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_TARGET_H_

#include <optional>
#include <set>
#include <string>

#include "decisions/chain.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Where one attempt is sent.
struct RelayTarget {
  UpstreamName upstream;  ///< The one that gets the request.
  Endpoint endpoint;
  Chain chain;  ///< All stages; empty for plain services.

  /// Returns every upstream that works on the attempt.
  std::vector<UpstreamName> ListUpstreams() const;

  /// Returns the upstreams with the layers that they run, for logs.
  std::string Describe() const;
};

/// A target, or why there is none.
struct TargetChoice {
  std::optional<RelayTarget> target;
  ResultCode code = ResultCode::kNoUpstream;
};

/// Chooses where to send a request for `pool`, without `excluded`. Its stages
/// read `tokens` tokens before the first new one.
TargetChoice ChooseTarget(const DaemonContext& context, const RelayPool& pool,
                          const std::set<UpstreamName>& excluded,
                          double tokens);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_TARGET_H_
