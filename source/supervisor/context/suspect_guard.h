#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_SUSPECT_GUARD_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_SUSPECT_GUARD_H_

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Hands what peers tell of suspects to the daemon's quarantine for as long as
/// the subscription is held.
[[nodiscard]] GossipExchange::Subscription FollowSuspects(
    const DaemonContext& context);

/// Connects one request with the daemon's quarantine: reports what happens to
/// the request, and tells the peers and the time line what follows.
class SuspectGuard {
 public:
  SuspectGuard(DaemonContext context, std::string fingerprint,
               RequestId request);

  /// Tells whether the request must not run at all.
  bool IsRefused() const;

  /// Decides whether the request runs now and on which chain.
  RunDecision DecideRun(const ChainChooser& choose);

  /// Notes that an attempt broke at `culprit` after `delivered` tokens.
  void HandleBreak(const UpstreamName& failed_upstream, ResultCode code,
                   TokenIndex delivered);

  /// Notes that the request has `delivered` tokens. Returns whether its run
  /// must stop.
  bool HandleToken(TokenIndex delivered);

  /// Notes that the request was answered whole.
  void HandleAnswered();

  /// Ends a trial that brought no verdict.
  void End();

 private:
  void Post(const std::vector<GossipUpdate>& updates);
  bool IsCrash(const UpstreamName& failed_upstream, ResultCode code) const;

  DaemonContext context_;
  std::string fingerprint_;
  RequestId request_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_SUSPECT_GUARD_H_
