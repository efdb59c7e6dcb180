#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_RECORD_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_RECORD_H_

#include <string>

#include "base/last_reason.h"
#include "decisions/restart_policy.h"
#include "supervisor/context/timeline.h"

namespace wisteriayoke {

/// Records the failure of a child and the decision of its supervisor.
void RecordChildFailure(Timeline& timeline, const std::string& child,
                        RestartDecision decision, const LastReason& reason);

/// Returns an observer that records child failures in `timeline`.
inline auto MakeChildObserver(Timeline& timeline) {
  return [&timeline](const std::string& child, RestartDecision decision,
                     const LastReason& reason) {
    RecordChildFailure(timeline, child, decision, reason);
  };
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_RECORD_H_
