#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_LEAVING_HANDLER_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_LEAVING_HANDLER_H_

#include "decisions/leaving_tracker.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Passes `event` to the daemon's leaving tracker and executes the actions that
/// it returns.
void HandleLeavingEvent(const DaemonContext& context,
                        const LeavingEvent& event);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_LEAVING_HANDLER_H_
