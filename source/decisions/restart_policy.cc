#include "decisions/restart_policy.h"

namespace wisteriayoke {

RestartDecision RestartTracker::RecordFailure(TimePoint now) {
  if (policy_ == RestartPolicy::kTemporary) {
    return RestartDecision::kLeaveStopped;
  }
  failures_.push_back(now);
  while (!failures_.empty() && failures_.front() + intensity_.window <= now) {
    failures_.pop_front();
  }
  return failures_.size() > intensity_.max_restarts ? RestartDecision::kEscalate
                                                    : RestartDecision::kRestart;
}

}  // namespace wisteriayoke
