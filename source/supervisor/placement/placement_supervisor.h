#ifndef WISTERIAYOKE_SUPERVISOR_PLACEMENT_PLACEMENT_SUPERVISOR_H_
#define WISTERIAYOKE_SUPERVISOR_PLACEMENT_PLACEMENT_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "runtime/supervisor.h"
#include "supervisor/placement/pool_placement.h"

namespace wisteriayoke {

/// Supervises one `PoolPlacement` for each pool with a placement in the tables
/// in force. A child of the root.
class PlacementSupervisor {
 public:
  PlacementSupervisor(DaemonContext context, TableServiceFinder table_service,
                      FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(std::function<void()> done);

  /// Replaces all children by those for the tables in force. Fails with the
  /// reason of the first child that fails to start.
  bool ApplyTables(LastReason& reason);

 private:
  using Child = std::variant<std::shared_ptr<PoolPlacement>>;

  DaemonContext context_;
  TableServiceFinder table_service_;
  std::string token_;  ///< Identifies this process in lease records.
  Supervisor<Child> children_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_PLACEMENT_PLACEMENT_SUPERVISOR_H_
