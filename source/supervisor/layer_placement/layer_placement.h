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

/// Contends for the lease of the placement and, while it holds it, orders the
/// upstreams that registered themselves to hold layers. A child of the root.
///
/// The lease only spares orders that several daemons would repeat; that no
/// order does harm follows from the sequence that each one builds on.
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
  void Carry(const ReadLease& action);
  void Carry(const WriteLease& action);

  void TickOrders();
  OrdersTick DescribePool(const PoolName& pool, const LayeredModel& model);
  void FeedOrders(const PoolName& pool, const LayerOrderEvent& event);
  void Carry(const PoolName& pool, const SendLayerOrder& action);
  void Carry(const PoolName& pool, const QuerySequence& action);
  void RecordOrder(const SendLayerOrder& action, LayerOrderResult result,
                   const std::string& reason);
  bool HoldsLease() const;
  TimePoint LeaseNow() const;

  DaemonContext context_;
  std::shared_ptr<RowStore> store_;
  LeaseManager lease_;
  std::map<PoolName, LayerOrders> orders_;
  bool held_ = false;  ///< As last told to operators.
  LoopTimerPtr lease_timer_;
  LoopTimerPtr orders_timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_LAYER_PLACEMENT_LAYER_PLACEMENT_H_
