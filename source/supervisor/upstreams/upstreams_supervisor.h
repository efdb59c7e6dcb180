#ifndef WISTERIAYOKE_SUPERVISOR_UPSTREAMS_UPSTREAMS_SUPERVISOR_H_
#define WISTERIAYOKE_SUPERVISOR_UPSTREAMS_UPSTREAMS_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/daemon_status.h"
#include "supervisor/upstreams/pool_supervisor.h"

namespace wisteriayoke {

/// Supervises one `PoolSupervisor` for each pool of the tables in force. A
/// child of the root.
class UpstreamsSupervisor {
 public:
  UpstreamsSupervisor(DaemonContext context, FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(std::function<void()> done);

  /// Replaces all children by those for the tables in force. Fails with the
  /// reason of the first child that fails to start.
  bool ApplyTables(LastReason& reason);

  /// Makes the child at `path` ("POOL" or "POOL/UPSTREAM") fail, so that it is
  /// restarted. Returns false if none runs there.
  bool FailChild(const std::string& path, const LastReason& reason);

  /// Adds the pools' children and their children to `rows`, with `prefix` in
  /// front of their paths.
  void DescribeChildren(const std::string& prefix,
                        std::vector<ChildStatus>& rows) const;

 private:
  using Child = std::variant<std::shared_ptr<PoolSupervisor>>;

  DaemonContext context_;
  Supervisor<Child> children_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_UPSTREAMS_UPSTREAMS_SUPERVISOR_H_
