#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_STATE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_STATE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "decisions/fleet.h"
#include "decisions/freshness.h"
#include "decisions/link_budget.h"
#include "decisions/pass_targets.h"
#include "decisions/place_queue.h"
#include "decisions/ranked_queue.h"
#include "decisions/relay_tables.h"
#include "decisions/request_cost.h"
#include "decisions/retry_budget.h"
#include "decisions/segment_quarantine.h"
#include "decisions/store_view.h"
#include "decisions/upstream_reach.h"
#include "decisions/upstream_work.h"
#include "supervisor/context/passed_request_exchange.h"
#include "supervisor/context/peer_view_exchange.h"
#include "supervisor/context/relay_metrics.h"

namespace wisteriayoke {

/// State that the relay's children share and that outlives their restarts.
struct RelayState {
  RelayTablesPtr tables;  ///< Null until the first tables are in force.
  Fleet fleet;
  bool fleet_known = false;  ///< Whether the list of upstreams was read.
  StoreMirrors mirrors;      ///< Copies of the store's tables.
  /// When the copy of the entries was last known to be up to date: the last
  /// answer of the store to this daemon, or the last time that a peer knew a
  /// later state of the store. Unset before the first.
  std::optional<TimePoint> entries_confirmed;
  /// Whether the newest document is valid and so in force.
  bool document_valid = false;
  Freshness freshness;  ///< Proven age of `tables`.
  /// Whence the latest proof came: "store", or the name of a peer.
  std::string proof_source;
  bool follows_store = false;  ///< Whether this daemon follows the store.
  /// Number of present daemons ordered before this one for following it.
  std::size_t follow_rank = 0;
  std::size_t group_size = 1;  ///< Present daemons, including this one.
  PeerViewExchange peer_views;
  PassedRequestExchange passed_requests;  ///< That peers pass on.
  PassTargets pass_targets;  ///< Peers that take requests of this daemon.
  RetryLimits retry_limits;  ///< This daemon's share of each pool's limits.
  std::map<PoolName, RetryBudget> budgets;
  std::map<PoolName, PlaceQueue> places;          ///< Requests without a place.
  std::map<PoolName, RankedQueue> ranked_queues;  ///< Of pools with ranks.
  /// Learned costs of the requests of pools that are routed by cost.
  std::map<PoolName, RequestCosts> costs;
  UpstreamWork work;  ///< Work on the upstreams of these pools.
  LinkBudget links;   ///< Budget of the links between data centres.
  SegmentQuarantine segments;
  UpstreamReach reach;  ///< Whether the links to all upstreams are lost.
  double max_members_seen = 1;  ///< Most members that were seen at a time.
  RelayMetrics metrics;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_STATE_H_
