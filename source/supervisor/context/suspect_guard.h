#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_SUSPECT_GUARD_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_SUSPECT_GUARD_H_

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Applies the peers' gossip updates about suspect requests to the daemon's
/// quarantine for as long as the subscription is held.
[[nodiscard]] GossipExchange::Subscription FollowSuspects(
    const DaemonContext& context);

/// Connects one request with the daemon's quarantine: reports the events of the
/// request to it, and passes the results to the peers and the timeline.
class SuspectGuard {
 public:
  SuspectGuard(DaemonContext context, std::string fingerprint,
               RequestId request);

  /// Returns whether the request must not run at all.
  bool Blocks() const;

  /// Decides whether the request runs now and on which chain.
  RunDecision DecideRun(const ChainChooser& choose);

  /// Records that an attempt failed at `failed_upstream` after `delivered`
  /// tokens. A crash makes the request suspect; any other failure ends its
  /// isolated run.
  void HandleAttemptFailure(const UpstreamName& failed_upstream,
                            ResultCode code, TokenIndex delivered);

  /// Records that the caller has `delivered` tokens. Returns whether the run
  /// must stop.
  bool HandleToken(TokenIndex delivered);

  /// Records that the request was answered completely.
  void HandleAnswered();

  /// Ends the isolated run of the request, if it has one, without a result.
  void EndIsolatedRun();

 private:
  void Post(const std::vector<GossipUpdate>& updates);
  bool IsCrash(const UpstreamName& failed_upstream, ResultCode code) const;

  DaemonContext context_;
  std::string fingerprint_;
  RequestId request_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_SUSPECT_GUARD_H_
