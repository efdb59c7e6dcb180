#include "supervisor/context/child_record.h"

namespace wisteriayoke {

void RecordChildFailure(Timeline& timeline, const std::string& child,
                        RestartDecision decision, const LastReason& reason) {
  timeline.Record(
      LogLevel::kWarning, EventKind::kChildFailed, reason.code(),
      {{"child", child},
       {"decision", std::string(kRestartDecisionNames.NameOf(decision))},
       {"reason", reason.message()}});
}

}  // namespace wisteriayoke
