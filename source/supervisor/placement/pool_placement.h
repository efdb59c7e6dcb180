#ifndef WISTERIAYOKE_SUPERVISOR_PLACEMENT_POOL_PLACEMENT_H_
#define WISTERIAYOKE_SUPERVISOR_PLACEMENT_POOL_PLACEMENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "decisions/placement_plan.h"
#include "runtime/http_client_call.h"
#include "runtime/supervisor.h"
#include "supervisor/table_service/table_service_client.h"

namespace wisteriayoke {

/// Competes for the lease of one pool and, while it holds the lease, orders the
/// pool's engines to load what the tables specify. A child of the placement
/// supervisor.
class PoolPlacement : public std::enable_shared_from_this<PoolPlacement> {
 public:
  /// `token` is unique for the process, so that a restarted child keeps the
  /// lease of its predecessor.
  PoolPlacement(DaemonContext context, TableServiceFinder table_service,
                Pool pool, std::string token);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  void Tick();
  void FeedLease(const LeaseEvent& event);
  void FeedPlan(const PlacementEvent& event);
  void Read(const ReadLease& action);
  void Write(const WriteLease& action);
  void HandleReply(const StoreReply& reply, LeaseOperation operation,
                   bool write);
  /// Records that the lease record or an engine's report is invalid.
  void RecordRefused(const std::string& entry, const LastReason& reason);
  void Query(const QueryEngine& action);
  void Send(const SendOrder& action);
  void HandleReport(const UpstreamName& upstream, const FetchResult& result);
  void HandleOrder(const SendOrder& action, const FetchResult& result);
  void EndOrder(const SendOrder& action, OrderResult result);
  void RecordHolding();
  const Endpoint& EndpointOf(const UpstreamName& upstream) const;

  DaemonContext context_;
  TableServiceFinder table_service_;
  Pool pool_;
  std::string record_name_;
  Duration tick_;
  LeaseManager lease_;
  PlacementPlan plan_;
  /// Fencing number of the held lease, as last recorded in the timeline.
  std::optional<FencingNumber> recorded_;
  LoopTimerPtr timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_PLACEMENT_POOL_PLACEMENT_H_
