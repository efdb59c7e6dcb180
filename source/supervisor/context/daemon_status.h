#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_STATUS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_STATUS_H_

#include <cstdint>
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
  std::vector<ChildStatus> children;
  std::vector<UpstreamStatus> upstreams;
};

/// Describes the daemon of `context`. Leaves `children` empty; the supervisors
/// fill them in.
DaemonStatus BuildDaemonStatus(const DaemonContext& context);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_DAEMON_STATUS_H_
