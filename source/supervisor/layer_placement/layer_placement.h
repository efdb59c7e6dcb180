#ifndef WISTERIAYOKE_SUPERVISOR_LAYER_PLACEMENT_LAYER_PLACEMENT_H_
#define WISTERIAYOKE_SUPERVISOR_LAYER_PLACEMENT_LAYER_PLACEMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decisions/layer_orders.h"
#include "decisions/lease_manager.h"
#include "platform/row_store.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Competes for the lease of the placement and, while it holds the lease,
/// orders the registered upstreams to load layers. A child of the root.
///
/// The lease only avoids duplicate orders from several daemons. Safety doesn't
/// depend on it: an order takes effect only at the sequence that it expects.
class LayerPlacement : public std::enable_shared_from_this<LayerPlacement> {
 public:
  LayerPlacement(DaemonContext context, const FailureHandler& on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  void TickLease();
  void FeedLease(const LeaseEvent& event);
  void CountCall(StoreCallKind kind, ResultCode code);
  std::optional<LeaseRecord> ReadRecord(const StoreRow& row);
  SequenceReported ReadReport(const UpstreamName& upstream,
                              const FetchResult& result);
  void Execute(const ReadLease& action);
  void Execute(const WriteLease& action);

  void TickOrders();
  OrdersTick DescribePool(const PoolName& pool, const LayeredModel& model);
  void FeedOrders(const PoolName& pool, const LayerOrderEvent& event);
  void Execute(const PoolName& pool, const SendLayerOrder& action);
  void Execute(const PoolName& pool, const QuerySequence& action);
  void RecordIfLeaving(const UpstreamName& upstream, const FetchResult& result);
  void RecordOrder(const SendLayerOrder& action, LayerOrderResult result,
                   const std::string& reason);
  bool HoldsLease() const;
  TimePoint LeaseNow() const;

  DaemonContext context_;
  std::shared_ptr<RowStore> store_;
  LeaseManager lease_;
  std::map<PoolName, LayerOrders> orders_;
  bool recorded_held_ = false;  ///< Last state recorded in the timeline.
  LoopTimerPtr lease_timer_;
  LoopTimerPtr orders_timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_LAYER_PLACEMENT_LAYER_PLACEMENT_H_
