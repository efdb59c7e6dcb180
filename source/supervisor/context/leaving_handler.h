#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_LEAVING_HANDLER_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_LEAVING_HANDLER_H_

#include "decisions/leaving_tracker.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Feeds a sign to the daemon's tracker and carries out what it decides.
void HandleLeavingEvent(const DaemonContext& context,
                        const LeavingEvent& event);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_LEAVING_HANDLER_H_
