#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_CONTEXT_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_CONTEXT_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "decisions/chain_speeds.h"
#include "decisions/leaving_tracker.h"
#include "decisions/peer_loads.h"
#include "decisions/quarantine.h"
#include "decisions/routing.h"
#include "decisions/table_set.h"
#include "decisions/upstream_tracker.h"
#include "runtime/event_loop.h"
#include "supervisor/context/gossip_exchange.h"
#include "supervisor/context/metrics.h"
#include "supervisor/context/relay_state.h"
#include "supervisor/context/settings.h"
#include "supervisor/context/timeline.h"

namespace wisteriayoke {

class AdmissionGate;

/// State that outlives the restart of any child. The root owns it and passes it
/// to the children that it makes.
struct DaemonState {
  TableVersion version;       ///< Version of the tables in force.
  TableSetPtr tables;         ///< Null until the first tables are in force.
  std::string table_content;  ///< Text of the tables, for peers that fetch it.
  UpstreamTracker upstreams;
  LeavingTracker leaving;  ///< Decides which upstreams are leaving.
  PeerLoads peer_loads;    ///< In-flight counts reported by other daemons.
  /// Number of present daemons whose names sort before this one's.
  std::size_t rank = 0;
  GossipExchange gossip;  ///< Gossip updates from and to peers.
  ChainSpeeds speeds;
  Quarantine quarantine;
  RoutingPolicy routing = TwoChoices{};
  std::mt19937_64 random{std::random_device{}()};  ///< For routing and polls.
  RelayState relay;  ///< Used only by the relay interface.
  Metrics metrics;
  Timeline timeline{metrics};
  /// Set by the first front end; holds the queues of all pools.
  std::shared_ptr<AdmissionGate> admission;
  bool draining = false;
  std::uint64_t requests_started = 0;
  /// Requests that a stop ended before their answer was complete.
  std::uint64_t requests_terminated = 0;
  std::size_t open_claims = 0;  ///< Ledger claims whose outcome is pending.

  bool ready() const {
    return (tables != nullptr || relay.tables != nullptr) && !draining;
  }
};

/// References that every child of the tree is made from.
struct DaemonContext {
  EventLoop& loop;
  const Settings& settings;
  DaemonState& state;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_CONTEXT_H_
