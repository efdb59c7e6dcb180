#ifndef WISTERIAYOKE_SUPERVISOR_ROOT_ROOT_SUPERVISOR_H_
#define WISTERIAYOKE_SUPERVISOR_ROOT_ROOT_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "decisions/stop_sequence.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/memory_report.h"
#include "supervisor/front/front_end.h"
#include "supervisor/instances/instance_watcher.h"
#include "supervisor/layer_placement/layer_placement.h"
#include "supervisor/operators/operators_server.h"
#include "supervisor/peers/peer_link.h"
#include "supervisor/placement/placement_supervisor.h"
#include "supervisor/relay/readiness_server.h"
#include "supervisor/relay/relay_front_end.h"
#include "supervisor/store_follower/store_follower.h"
#include "supervisor/table_service/table_service_client.h"
#include "supervisor/tables/table_manager.h"
#include "supervisor/upstreams/upstreams_supervisor.h"

namespace wisteriayoke {

/// The root of a daemon's supervisor tree. Owns the state that outlives its
/// children and performs a planned stop.
class RootSupervisor {
 public:
  /// Called once when the tree has ended: with kOk or kShutdownCut after a
  /// planned stop, else with the reason of the failed child.
  using EndHandler = std::function<void(const LastReason&)>;

  RootSupervisor(EventLoop& loop, const Settings& settings, EndHandler on_end);

  /// Starts all children in order. Fails with the reason of the first child
  /// that fails to start.
  bool Start(LastReason& reason);

  /// Begins a planned stop: requests in flight finish. A second signal or the
  /// drain deadline terminates the remaining ones; the stop then ends with
  /// kShutdownCut. The deadline counts from the signal, if there is one.
  void RequestStop(StopSource source);

  /// Applies the settings that may change while the daemon runs: the addresses
  /// of other daemons.
  void Reload(const Settings& settings);

  Timeline& timeline() { return state_.timeline; }

 private:
  using Child = std::variant<
      std::shared_ptr<OperatorsServer>, std::shared_ptr<TableServiceClient>,
      std::shared_ptr<PeerLink>, std::shared_ptr<InstanceWatcher>,
      std::shared_ptr<TableManager>, std::shared_ptr<UpstreamsSupervisor>,
      std::shared_ptr<PlacementSupervisor>, std::shared_ptr<FrontEnd>,
      std::shared_ptr<StoreFollower>, std::shared_ptr<LayerPlacement>,
      std::shared_ptr<ReadinessServer>, std::shared_ptr<RelayFrontEnd>>;

  DaemonContext Context() { return {loop_, settings_, state_}; }
  TableServiceFinder MakeTableServiceFinder();
  PeerFinder MakePeerFinder();
  OperatorsHooks MakeOperatorsHooks();
  DaemonStatus DescribeStatus();
  bool RestartChild(const std::string& path, LastReason& reason);
  bool StartCompletions(LastReason& reason);
  bool StartPlacement(LastReason& reason);
  bool StartRelay(LastReason& reason);
  bool AddOperators(LastReason& reason);
  bool AddPeers(LastReason& reason);
  bool AddStoreFollower(LastReason& reason);
  /// Adds a child that is made from the context and a failure handler alone.
  template <typename Kind>
  bool AddChild(const std::string& name, LastReason& reason);
  bool AnnounceTables(std::uint64_t number, const std::string& content,
                      LastReason& reason);
  void HandleTablesChanged();
  void TerminateRequests();
  Duration DrainDeadline() const;
  void StartDrainTimer();
  void EndStop();
  void End(const LastReason& reason);

  EventLoop& loop_;
  const Settings& settings_;
  EndHandler on_end_;
  DaemonState state_;
  MemoryReport memory_report_{loop_, state_.timeline};
  Supervisor<Child> children_;
  StopSequence stop_sequence_;
  LoopTimerPtr drain_timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_ROOT_ROOT_SUPERVISOR_H_
