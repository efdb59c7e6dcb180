#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_STATE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_STATE_H_

#include <map>

#include "decisions/fleet.h"
#include "decisions/freshness.h"
#include "decisions/link_budget.h"
#include "decisions/relay_tables.h"
#include "decisions/retry_budget.h"
#include "supervisor/context/relay_metrics.h"

namespace wisteriayoke {

/// State that the relay's children share and that outlives their restarts.
struct RelayState {
  RelayTablesPtr tables;  ///< Null until the first tables are in force.
  Fleet fleet;
  bool fleet_known = false;  ///< Whether the list of upstreams was read.
  Freshness freshness;       ///< Proven age of `tables`.
  RetryLimits retry_limits;  ///< This daemon's share of each pool's limits.
  std::map<PoolName, RetryBudget> budgets;
  LinkBudget links;             ///< Budget of the links between data centres.
  double max_members_seen = 1;  ///< Most members that were seen at a time.
  RelayMetrics metrics;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_STATE_H_
