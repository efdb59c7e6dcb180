#include "supervisor/context/child_log.h"

#include "supervisor/context/log.h"

namespace wisteriayoke {

void LogChildFailure(const std::string& child, RestartDecision decision,
                     const LastReason& reason) {
  LogEvent(LogLevel::kWarning, "child-failed", reason.code(),
           {{"child", child},
            {"decision", std::string(kRestartDecisionNames.NameOf(decision))},
            {"reason", reason.message()}});
}

}  // namespace wisteriayoke
