#ifndef WISTERIAYOKE_DECISIONS_LAYER_ORDERS_H_
#define WISTERIAYOKE_DECISIONS_LAYER_ORDERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/layer_plan.h"

namespace wisteriayoke {

/// Number of orders that an upstream has accepted since it started.
using OrderSequence = std::uint64_t;

/// An upstream that may get orders.
struct PlacedUpstream {
  LayerHost host;
  std::uint64_t started_ms = 0;  ///< Start time; it starts without layers.
};

/// Time to compare the layers that the upstreams hold with the plan.
struct OrdersTick {
  /// Those that can be used now. One marked as loading gets no order.
  std::vector<PlacedUpstream> upstreams;
};

/// Result of sending an order to an upstream.
enum class LayerOrderResult {
  kAccepted,
  kMismatched,  ///< Not accepted: its sequence or state isn't as expected.
  kLost,        ///< No answer; the order may still take effect.
};

inline constexpr auto kLayerOrderResultNames =
    MakeNamesTable<LayerOrderResult>({
        {LayerOrderResult::kAccepted, "accepted"},
        {LayerOrderResult::kMismatched, "mismatched"},
        {LayerOrderResult::kLost, "lost"},
    });

/// The call that sent an order ended.
struct LayerOrderEnded {
  UpstreamName upstream;
  LayerOrderResult result = LayerOrderResult::kLost;
};

/// A query of an upstream's sequence ended. `sequence` is nullopt if the
/// upstream gave no usable report.
struct SequenceReported {
  UpstreamName upstream;
  std::optional<OrderSequence> sequence;
  bool loading = false;  ///< Whether the upstream is executing an order.
};

using LayerOrderEvent =
    std::variant<OrdersTick, LayerOrderEnded, SequenceReported>;

/// Order the upstream to hold `layers` if it has accepted `expected` orders.
struct SendLayerOrder {
  UpstreamName upstream;
  LayerRange layers;
  OrderSequence expected = 0;
};

/// Query how many orders the upstream has accepted.
struct QuerySequence {
  UpstreamName upstream;
};

using LayerOrderAction = std::variant<SendLayerOrder, QuerySequence>;

/// Decides which upstreams are ordered to hold which layers.
///
/// Every order names the whole range and the sequence number that it expects.
/// Of two orders with the same number at most one takes effect, however late
/// they arrive, and no upstream ever holds more than the range of one order.
class LayerOrders {
 public:
  /// Time without a joining upstream before the first layout is made, so that
  /// the layout includes all upstreams: a little over their heartbeat interval.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
  /// How long an accepted order is assumed to be loading while the upstream's
  /// entry doesn't show its range: the platform's longest load time while
  /// several upstreams load at once.
  static constexpr Duration kMaxLoadTime = std::chrono::seconds(20);
  /// Time after an unanswered order before the upstream's sequence is queried,
  /// since the order may still arrive.
  static constexpr Duration kQueryDelay = std::chrono::milliseconds(500);

  explicit LayerOrders(LayeredModel model) : model_(std::move(model)) {}

  /// Handles one event and returns the actions to take, in order.
  std::vector<LayerOrderAction> Handle(const LayerOrderEvent& event,
                                       TimePoint now);

 private:
  using Actions = std::vector<LayerOrderAction>;

  /// What is known about the orders to one upstream.
  struct OrderState {
    std::uint64_t started_ms = 0;
    LayerRange held;
    std::optional<OrderSequence> sequence;  ///< Nullopt if it must be queried.
    std::optional<LayerRange> ordered;  ///< Range not yet seen in its entry.
    TimePoint ordered_at;
    bool busy = false;  ///< An order or a query awaits its answer.
  };

  Actions HandleTick(const OrdersTick& tick, TimePoint now);
  void TrackUpstreams(const OrdersTick& tick, TimePoint now);
  void TrackUpstream(const PlacedUpstream& upstream, TimePoint now);
  bool MustWait(TimePoint now) const;
  void HandleEnd(const LayerOrderEnded& end, TimePoint now);
  void HandleSequence(const SequenceReported& report, TimePoint now);
  void QueryUnknownSequences(TimePoint now, Actions& actions);
  static LayerOrderAction MakeOrder(const UpstreamName& upstream,
                                    OrderState& state, const LayerRange& layers,
                                    TimePoint now);

  LayeredModel model_;
  std::map<UpstreamName, OrderState> states_;
  TimePoint last_joined_at_;  ///< When an upstream last joined.
  bool has_layout_ = false;   ///< Whether any upstream ever held layers.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_ORDERS_H_
