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

/// Counts the orders that one start of an upstream has accepted.
using OrderSequence = std::uint64_t;

/// An upstream as the placement sees it.
struct PlacedUpstream {
  LayerCard card;
  std::uint64_t started_ms = 0;  ///< Start of the upstream; a new one is empty.
};

/// Time to compare what the upstreams hold with the plan.
struct OrdersTick {
  std::vector<PlacedUpstream> upstreams;  ///< Those that can be ordered now.
};

/// How an upstream answered an order.
enum class LayerOrderResult {
  kAccepted,
  kMismatched,  ///< Its sequence or its state is another than was assumed.
  kLost,        ///< No answer; the order may take effect, even later.
};

inline constexpr auto kLayerOrderResultNames =
    MakeNamesTable<LayerOrderResult>({
        {LayerOrderResult::kAccepted, "accepted"},
        {LayerOrderResult::kMismatched, "mismatched"},
        {LayerOrderResult::kLost, "lost"},
    });

/// An order ended.
struct LayerOrderEnded {
  UpstreamName upstream;
  LayerOrderResult result = LayerOrderResult::kLost;
};

/// An upstream reported how many orders it has accepted; nothing if it gave no
/// usable report.
struct SequenceReported {
  UpstreamName upstream;
  std::optional<OrderSequence> sequence;
  bool loading = false;  ///< Whether an order is being carried out.
};

using LayerOrderEvent =
    std::variant<OrdersTick, LayerOrderEnded, SequenceReported>;

/// Order the upstream to hold `layers`, if it has accepted `expected` orders.
struct SendLayerOrder {
  UpstreamName upstream;
  LayerRange layers;
  OrderSequence expected = 0;
};

/// Ask the upstream how many orders it has accepted.
struct QuerySequence {
  UpstreamName upstream;
};

using LayerOrderAction = std::variant<SendLayerOrder, QuerySequence>;

/// Decides which upstreams are ordered to hold which layers.
///
/// Every order names the whole range and the sequence that it builds on, so
/// that of two orders on one sequence at most one takes effect, however late
/// they arrive, and no upstream ever holds more than one order's range.
class LayerOrders {
 public:
  /// How long no upstream may have joined before the first layout is made, so
  /// that it takes all into account: a little over their heartbeat.
  static constexpr Duration kQuietTime = std::chrono::milliseconds(1500);
  /// How long an accepted order is taken for under way while the upstream's
  /// entry doesn't show it: the platform's longest load, several at a time.
  static constexpr Duration kLoadTime = std::chrono::seconds(20);
  /// How long an order without an answer may still be on its way before the
  /// upstream is asked.
  static constexpr Duration kAskDelay = std::chrono::milliseconds(500);

  explicit LayerOrders(LayeredModel model) : model_(std::move(model)) {}

  /// Handles one event and returns what to do, in order.
  std::vector<LayerOrderAction> Handle(const LayerOrderEvent& event,
                                       TimePoint now);

 private:
  using Actions = std::vector<LayerOrderAction>;

  /// What is known of one upstream's orders.
  struct Book {
    std::uint64_t started_ms = 0;
    LayerRange held;
    std::optional<OrderSequence> sequence;  ///< Nothing if it must be asked.
    std::optional<LayerRange> ordered;      ///< Not yet seen in its entry.
    TimePoint ordered_at;
    bool busy = false;  ///< An order or a question is under way.
  };

  Actions HandleTick(const OrdersTick& tick, TimePoint now);
  void Follow(const OrdersTick& tick, TimePoint now);
  void FollowOne(const PlacedUpstream& upstream, TimePoint now);
  bool MustWait(TimePoint now) const;
  void HandleEnd(const LayerOrderEnded& end, TimePoint now);
  void HandleSequence(const SequenceReported& report, TimePoint now);
  void AskUnknown(TimePoint now, Actions& actions);
  static LayerOrderAction Order(const UpstreamName& upstream, Book& book,
                                const LayerRange& layers, TimePoint now);

  LayeredModel model_;
  std::map<UpstreamName, Book> books_;
  TimePoint joined_at_;    ///< When an upstream last joined.
  bool laid_out_ = false;  ///< Whether any upstream ever held layers.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_ORDERS_H_
