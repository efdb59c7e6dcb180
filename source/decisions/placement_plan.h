#ifndef WISTERIAYOKE_DECISIONS_PLACEMENT_PLAN_H_
#define WISTERIAYOKE_DECISIONS_PLACEMENT_PLAN_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/names_table.h"
#include "decisions/lease_manager.h"
#include "decisions/table_spec.h"
#include "decisions/token_bucket.h"

namespace wisteriayoke {

/// The desired or the actual state of an engine.
struct EngineState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  LayerRange layers;
  EngineRole role = EngineRole::kGeneral;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

/// Orders an engine to change to `state`. The order holds the whole state, so
/// repeating it has no further effect.
struct EngineOrder {
  FencingNumber fencing = 0;
  EngineState state;
};

/// Result of an order.
enum class OrderResult {
  kAccepted,
  kFenced,  ///< The engine has accepted an order of a later lease holder.
  kFailed,  ///< Rejected or unanswered; it may have taken effect.
};

inline constexpr auto kOrderResultNames = MakeNamesTable<OrderResult>({
    {OrderResult::kAccepted, "accepted"},
    {OrderResult::kFenced, "fenced"},
    {OrderResult::kFailed, "failed"},
});

/// Time to compare the engines' states with the tables.
struct PlacementTick {};

/// An engine reported its state.
struct EngineReported {
  UpstreamName upstream;
  EngineState state;
  bool ready = false;  ///< Whether it has loaded that state.
};

/// A query of an engine's state brought no usable report.
struct EngineQueryFailed {
  UpstreamName upstream;
};

/// An order ended.
struct OrderEnded {
  UpstreamName upstream;
  OrderResult result = OrderResult::kFailed;
  FencingNumber fencing = 0;  ///< Fencing number of the order.
};

using PlacementEvent =
    std::variant<PlacementTick, EngineReported, EngineQueryFailed, OrderEnded>;

/// Query the engine's state.
struct QueryEngine {
  UpstreamName upstream;
};

/// Send the order to the engine.
struct SendOrder {
  UpstreamName upstream;
  EngineOrder order;
};

using PlacementAction = std::variant<QueryEngine, SendOrder>;

/// Returns the state that the tables give for `upstream` of `pool`.
EngineState DesiredState(const Pool& pool, const UpstreamSpec& upstream);

/// Decides which orders the engines of one pool get.
///
/// Compares the state that each engine reports with the desired state from the
/// pools table. Orders that load weights from the weight store go to one engine
/// at a time and within the pool's rate, so that a failing roll-out stops at
/// its first engine.
class PlacementPlan {
 public:
  explicit PlacementPlan(const Pool& pool);

  /// Handles one event and returns the actions to take, in order. `held` is the
  /// fencing number under which an order may be sent at `now`, if any.
  std::vector<PlacementAction> Handle(const PlacementEvent& event,
                                      std::optional<FencingNumber> held,
                                      TimePoint now);

 private:
  using Actions = std::vector<PlacementAction>;

  /// What is known about one engine.
  struct Engine {
    EngineState desired;
    bool busy = false;  ///< A query or an order awaits its answer.
    /// It isn't ready yet after an order, or its state isn't known yet.
    bool loading = true;
  };

  Actions HandleTick(std::optional<FencingNumber> held);
  Actions HandleReport(const EngineReported& event,
                       std::optional<FencingNumber> held, TimePoint now);
  void HandleEnd(const OrderEnded& event);
  bool IsOtherLoading(const UpstreamName& name) const;

  std::map<UpstreamName, Engine> engines_;
  TokenBucket loads_;
  FencingNumber last_held_ = 0;
  FencingNumber fenced_ = 0;  ///< Highest fencing number known to be rejected.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PLACEMENT_PLAN_H_
