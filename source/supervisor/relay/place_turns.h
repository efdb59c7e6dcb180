#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_PLACE_TURNS_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_PLACE_TURNS_H_

#include <memory>
#include <vector>

#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/relay_session.h"

namespace wisteriayoke {

/// Lets the requests of `sessions` that wait for a place in a ranked pool
/// search for it, until one finds none: first the started streams, then those
/// in the pool's queue in its order.
void GivePlaces(const DaemonContext& context,
                const std::vector<std::weak_ptr<RelaySession>>& sessions);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_PLACE_TURNS_H_
