#ifndef WISTERIAYOKE_SUPERVISOR_UPSTREAMS_POOL_SUPERVISOR_H_
#define WISTERIAYOKE_SUPERVISOR_UPSTREAMS_POOL_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/daemon_status.h"
#include "supervisor/upstreams/upstream_monitor.h"

namespace wisteriayoke {

/// Supervises one monitor for each upstream of a pool. A child of the
/// upstreams' supervisor.
class PoolSupervisor {
 public:
  PoolSupervisor(DaemonContext context, Pool pool, FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(std::function<void()> done);

  /// Makes the monitor of the upstream `name` fail, so that it is restarted.
  /// Returns false if none runs.
  bool FailChild(const std::string& name, const LastReason& reason);

  /// Adds all children to `rows`, with `prefix` in front of their paths.
  void DescribeChildren(const std::string& prefix,
                        std::vector<ChildStatus>& rows) const;

 private:
  using Child = std::variant<std::shared_ptr<UpstreamMonitor>>;

  DaemonContext context_;
  Pool pool_;
  Supervisor<Child> children_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_UPSTREAMS_POOL_SUPERVISOR_H_
