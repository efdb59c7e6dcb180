#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_LOG_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_LOG_H_

#include <string>

#include "base/last_reason.h"
#include "decisions/restart_policy.h"

namespace wisteriayoke {

/// Logs the failure of a child and what its supervisor decided.
void LogChildFailure(const std::string& child, RestartDecision decision,
                     const LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_LOG_H_
