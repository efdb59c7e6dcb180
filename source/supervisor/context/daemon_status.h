#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_STATUS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "decisions/table_spec.h"
#include "decisions/upstream_tracker.h"

namespace wisteriayoke {

struct DaemonContext;

/// One child of the supervisor tree. `path` joins the names of its ancestors,
/// without the root, and its own name by "/".
struct ChildStatus {
  std::string path;
  bool running = false;
  std::uint64_t restarts = 0;
};

/// One upstream as this daemon sees it.
struct UpstreamStatus {
  UpstreamName name;
  PoolName pool;
  UpstreamHealth health = UpstreamHealth::kHealthy;
  std::uint64_t in_flight = 0;
};

/// How a relay daemon learns of changes in the platform's store.
struct FollowStatus {
  bool follows_store = false;  ///< Whether it calls the store itself.
  /// Age of the last proof that its tables are up to date; -1 before the first.
  std::int64_t proof_age_us = -1;
  std::string proof_source;        ///< "store", or the peer that passed it on.
  std::uint64_t tables_head = 0;   ///< Store version of the last known change.
  std::uint64_t entries_head = 0;  ///< The same for the upstreams' entries.
};

/// State that a daemon reports to operators.
struct DaemonStatus {
  DaemonName name;
  DataCentreName data_centre;
  std::string release;
  TableVersion version;
  bool ready = false;
  bool draining = false;
  std::uint64_t requests_started = 0;
  std::uint64_t invariants_broken = 0;
  std::optional<FollowStatus> follow;  ///< Only of a relay.
  std::vector<ChildStatus> children;
  std::vector<UpstreamStatus> upstreams;
};

/// Describes the daemon of `context`. Leaves `children` empty; the supervisors
/// fill them in.
DaemonStatus BuildDaemonStatus(const DaemonContext& context);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_STATUS_H_
