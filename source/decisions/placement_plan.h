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

/// What an engine is to hold, or holds.
struct EngineState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  LayerRange layers;
  EngineRole role = EngineRole::kGeneral;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

/// Tells an engine what to hold. It names the whole state, so that a repeated
/// order has no further effect.
struct EngineOrder {
  FencingNumber fencing = 0;
  EngineState state;
};

/// How an order ended.
enum class OrderResult {
  kAccepted,
  kFenced,  ///< The engine has had an order of a later holder.
  kFailed,  ///< Refused, or no answer: it may have taken effect.
};

inline constexpr auto kOrderResultNames = MakeNamesTable<OrderResult>({
    {OrderResult::kAccepted, "accepted"},
    {OrderResult::kFenced, "fenced"},
    {OrderResult::kFailed, "failed"},
});

/// Time to compare the engines with the tables.
struct PlacementTick {};

/// An engine told its state.
struct EngineReported {
  UpstreamName upstream;
  EngineState state;
  bool ready = false;  ///< Whether it has loaded what it holds.
};

/// An engine gave no usable report.
struct EngineQueryFailed {
  UpstreamName upstream;
};

/// An order ended.
struct OrderEnded {
  UpstreamName upstream;
  OrderResult result = OrderResult::kFailed;
  FencingNumber fencing = 0;  ///< Of the order.
};

using PlacementEvent =
    std::variant<PlacementTick, EngineReported, EngineQueryFailed, OrderEnded>;

/// Ask the engine for its state.
struct QueryEngine {
  UpstreamName upstream;
};

/// Send the order to the engine.
struct SendOrder {
  UpstreamName upstream;
  EngineOrder order;
};

using PlacementAction = std::variant<QueryEngine, SendOrder>;

/// Returns what the tables want `upstream` of `pool` to hold.
EngineState WantedState(const Pool& pool, const UpstreamSpec& upstream);

/// Decides which orders the engines of one pool get.
///
/// Compares what each engine reports with what the pools table wants. Orders
/// that need the weight store go to one engine at a time and within the pool's
/// rate, so that a roll-out that fails stops at its first engine.
class PlacementPlan {
 public:
  explicit PlacementPlan(const Pool& pool);

  /// Handles one event and returns what to do, in order. `held` is the fencing
  /// number under which an order may be sent at `now`, if any.
  std::vector<PlacementAction> Handle(const PlacementEvent& event,
                                      std::optional<FencingNumber> held,
                                      TimePoint now);

 private:
  using Actions = std::vector<PlacementAction>;

  /// What is known about one engine.
  struct Engine {
    EngineState wanted;
    bool busy = false;  ///< A question or an order is under way.
    /// It isn't ready after an order, or nothing is known of it yet.
    bool loading = true;
  };

  Actions HandleTick(std::optional<FencingNumber> held);
  Actions HandleReport(const EngineReported& event,
                       std::optional<FencingNumber> held, TimePoint now);
  void HandleEnd(const OrderEnded& event);
  bool OthersLoad(const UpstreamName& name) const;

  std::map<UpstreamName, Engine> engines_;
  TokenBucket loads_;
  FencingNumber last_held_ = 0;
  FencingNumber fenced_ = 0;  ///< Orders up to this number are refused.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PLACEMENT_PLAN_H_
