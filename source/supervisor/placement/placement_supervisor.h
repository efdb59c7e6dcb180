#ifndef WISTERIAYOKE_SUPERVISOR_PLACEMENT_PLACEMENT_SUPERVISOR_H_
#define WISTERIAYOKE_SUPERVISOR_PLACEMENT_PLACEMENT_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "runtime/supervisor.h"
#include "supervisor/placement/pool_placement.h"

namespace wisteriayoke {

/// Supervises one child for each pool whose engines get orders, and follows
/// the tables in force. A child of the root.
class PlacementSupervisor {
 public:
  PlacementSupervisor(DaemonContext context, TableServiceFinder table_service,
                      FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(std::function<void()> done);

  /// Replaces the children by those that the tables in force ask for. Fails
  /// with the reason of a child that doesn't start.
  bool FollowTables(LastReason& reason);

 private:
  using Child = std::variant<std::shared_ptr<PoolPlacement>>;

  DaemonContext context_;
  TableServiceFinder table_service_;
  std::string token_;  ///< Names this process in leases.
  Supervisor<Child> children_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_PLACEMENT_PLACEMENT_SUPERVISOR_H_
