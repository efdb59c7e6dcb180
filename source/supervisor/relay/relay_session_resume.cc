// Leaving an attempt that stalls, and going on elsewhere.
#include <algorithm>
#include <set>
#include <utility>

#include "supervisor/relay/relay_session.h"

namespace wisteriayoke {

void RelaySession::HandleUnresponsive(const UpstreamName& upstream) {
  if (stall_.reported()) LeaveUnresponsive({upstream});
}

void RelaySession::LeaveUnresponsive(
    const std::vector<UpstreamName>& upstreams) {
  bool concerned = false;
  for (const auto& name : upstreams) {
    if (!RunsOn(name)) continue;
    search_.Avoid(name);
    concerned = true;
  }
  if (concerned) LeaveStalledAttempt(ResultCode::kTimedOut, {});
}

void RelaySession::HandleUpstreamStalls(const UpstreamName& upstream) {
  if (!RunsOn(upstream)) return;
  search_.Avoid(upstream);
  // A started stream waits for a path, any other request would be refused.
  if (times_.begun()) return Feed(AttemptStalled{ResultCode::kUpstreamFailed});
  LeaveStalledAttempt(ResultCode::kUpstreamFailed, {});
}

/// Leaves the attempt for a target without the upstreams to avoid and `others`.
/// Keeps it if there is none, since another attempt would only wait behind it.
void RelaySession::LeaveStalledAttempt(
    ResultCode code, const std::vector<UpstreamName>& others) {
  // A search is expensive, and in vain where no attempt may follow.
  if (decider_.MayLeaveStalled(Budget())) {
    const std::set<UpstreamName> excluded(others.begin(), others.end());
    if (!search_.HasTargetWithout(excluded, times_.begun())) return;
    for (const auto& name : others) search_.Avoid(name);
  }
  Feed(AttemptStalled{code});
}

void RelaySession::Execute(const RetryElsewhere& /*action*/) {
  const auto kind =
      times_.begun() ? EventKind::kStreamResumed : EventKind::kRequestRetried;
  Record(LogLevel::kInfo, kind, end_code_);
  EndAttempt(UpstreamFeedback::kPoor);
  StartAttempt();
}

void RelaySession::Execute(const KeepAttempt& /*action*/) {
  if (std::exchange(keep_recorded_, true)) return;
  Record(LogLevel::kInfo, EventKind::kAttemptKept, end_code_);
}

void RelaySession::Execute(const RetryLater& /*action*/) { waiting_ = true; }

}  // namespace wisteriayoke
