#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_COST_ROUTING_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_COST_ROUTING_H_

#include <set>

#include "decisions/layer_path.h"
#include "decisions/routing.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/relayed_request.h"

namespace wisteriayoke {

/// Work of a usual request of a plain service; its unit has no other meaning.
inline constexpr double kUsualServiceWork = 300;

/// Returns whether the requests of `pool` are routed by their expected cost.
bool IsCostRouted(const Settings& settings, const RelayTables& tables,
                  const PoolName& pool);

/// Returns the traits by which the cost of `request` is estimated.
RequestTraits TraitsOf(const RelayedRequest& request);

/// Returns the learned costs of the requests of `pool`.
RequestCosts& CostsOf(RelayState& relay, const RelayPool& pool);

/// Sets the work of `candidates` for `request`, instead of limits on counts.
void SetWork(const DaemonContext& context, const RelayPool& pool,
             const RelayedRequest& request,
             std::vector<PathCandidate>& candidates);

/// Sets the work of the candidates of a plain service.
void SetServiceWork(const DaemonContext& context,
                    std::vector<RoutingCandidate>& candidates);

/// Records that `upstream` of `pool` had no room for a request.
void RecordFull(const DaemonContext& context, const RelayPool& pool,
                const UpstreamName& upstream);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_COST_ROUTING_H_
