#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_REQUEST_TERMINATION_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_REQUEST_TERMINATION_H_

#include "base/ids.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Error message for a caller whose request was terminated by a stop.
inline constexpr auto kTerminationMessage =
    "the daemon stopped before the answer was whole";

/// Counts and records a request that a stop ended before its answer was
/// complete.
void RecordTermination(const DaemonContext& context, const RequestId& request);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_REQUEST_TERMINATION_H_
