#ifndef WISTERIAYOKE_SUPERVISOR_INSTANCES_INSTANCE_WATCHER_H_
#define WISTERIAYOKE_SUPERVISOR_INSTANCES_INSTANCE_WATCHER_H_

#include <functional>
#include <memory>

#include "supervisor/peers/peer_link.h"
#include "supervisor/table_service/table_service_client.h"

namespace wisteriayoke {

/// Polls the platform's list of instances for leaving upstreams and for the
/// addresses of other daemons, and receives the peers' gossip updates about
/// leaving upstreams. A child of the root.
class InstanceWatcher : public std::enable_shared_from_this<InstanceWatcher> {
 public:
  InstanceWatcher(DaemonContext context, TableServiceFinder table_service,
                  PeerFinder peers, FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  void Poll();
  void Tick();
  void HandleList(const StoreReply& reply);

  DaemonContext context_;
  TableServiceFinder table_service_;
  PeerFinder peers_;
  FailureHandler on_failure_;
  GossipExchange::Subscription leaving_updates_;
  LoopTimerPtr poll_timer_;
  LoopTimerPtr tick_timer_;
  std::uint64_t revision_ = 0;  ///< Revision of the last list applied.
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_INSTANCES_INSTANCE_WATCHER_H_
