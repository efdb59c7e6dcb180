#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RETURN_TIME_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RETURN_TIME_H_

#include "base/result_code.h"
#include "decisions/request_rank.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Returns after what time a caller that is refused for `code` should return to
/// `pool`, given that it waits for another `time_left`; earlier for more
/// urgent ranks.
Duration ComputeReturnTime(const DaemonContext& context, const PoolName& pool,
                           ResultCode code, Duration time_left,
                           RequestRank rank);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RETURN_TIME_H_
