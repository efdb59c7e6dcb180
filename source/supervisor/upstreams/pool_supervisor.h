#ifndef WISTERIAYOKE_SUPERVISOR_UPSTREAMS_POOL_SUPERVISOR_H_
#define WISTERIAYOKE_SUPERVISOR_UPSTREAMS_POOL_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <variant>

#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/upstreams/upstream_monitor.h"

namespace wisteriayoke {

/// Supervises one monitor for each upstream of a pool. A child of the
/// upstreams' supervisor.
class PoolSupervisor {
 public:
  PoolSupervisor(DaemonContext context, Pool pool, FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(std::function<void()> done);

 private:
  using Child = std::variant<std::shared_ptr<UpstreamMonitor>>;

  DaemonContext context_;
  Pool pool_;
  Supervisor<Child> children_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_UPSTREAMS_POOL_SUPERVISOR_H_
