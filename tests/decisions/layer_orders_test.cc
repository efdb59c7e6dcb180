#include "decisions/layer_orders.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

LayeredModel MakeModel() {
  LayeredModel model;
  model.layer_count = 20;
  model.layer_mb = 1000;
  model.kv_token_bytes = 1'000;
  return model;
}

constexpr double kMemoryMb = 12'000;

/// An order on its way; late ones arrive after newer ones.
struct Flight {
  SendLayerOrder order;
  bool answered = true;
};

/// An upstream as the platform describes it: an order is carried out only on
/// the sequence that it names, and only while no other is.
struct FakeCard {
  PlacedUpstream state;
  OrderSequence sequence = 0;
  LayerRange loading;
  std::uint32_t most_layers = 0;  ///< That it was ever ordered to hold.

  bool Accept(const SendLayerOrder& order) {
    if (loading != LayerRange{} || order.expected != sequence) return false;
    ++sequence;
    loading = order.layers;
    state.card.held = {};
    most_layers = std::max(most_layers, order.layers.end - order.layers.first);
    return true;
  }
  void Load() {
    if (loading == LayerRange{}) return;
    state.card.held = std::exchange(loading, LayerRange{});
  }
  void Restart() {
    ++state.started_ms;
    sequence = 0;
    loading = state.card.held = {};
  }
};

/// Upstreams, their orders in flight and the decider.
struct OrdersWorld {
  std::vector<FakeCard> cards;
  LayerOrders orders{MakeModel()};
  std::deque<Flight> late;
  TimePoint now{std::chrono::seconds(100)};
  int sent = 0;

  explicit OrdersWorld(int count) {
    for (int i = 0; i < count; ++i) {
      FakeCard card;
      card.state.card = {.name = UpstreamName("u" + std::to_string(i)),
                         .data_centre = DataCentreName("a"),
                         .memory_mb = kMemoryMb};
      card.state.started_ms = 1;
      cards.push_back(card);
    }
  }

  FakeCard& Find(const UpstreamName& name) {
    return *std::find_if(cards.begin(), cards.end(), [&](const FakeCard& card) {
      return card.state.card.name == name;
    });
  }

  void Feed(const LayerOrderEvent& event, bool lossy) {
    for (const auto& action : orders.Handle(event, now)) {
      std::visit(Overloaded{
                     [&](const SendLayerOrder& order) { Send(order, lossy); },
                     [&](const QuerySequence& ask) {
                       const FakeCard& card = Find(ask.upstream);
                       Feed(SequenceReported{ask.upstream, card.sequence,
                                             card.loading != LayerRange{}},
                            lossy);
                     },
                 },
                 action);
    }
  }

  void Send(const SendLayerOrder& order, bool lossy) {
    ++sent;
    const int fate = lossy ? *rc::gen::inRange(0, 4) : 0;
    if (fate == 3) {
      late.push_back({order});
      return Feed(LayerOrderEnded{order.upstream, LayerOrderResult::kLost},
                  lossy);
    }
    const bool accepted = Find(order.upstream).Accept(order);
    const auto result = fate == 2  ? LayerOrderResult::kLost
                        : accepted ? LayerOrderResult::kAccepted
                                   : LayerOrderResult::kMismatched;
    Feed(LayerOrderEnded{order.upstream, result}, lossy);
  }

  void Tick(bool lossy) {
    now += std::chrono::milliseconds(200);
    OrdersTick tick;
    for (const auto& card : cards) tick.upstreams.push_back(card.state);
    Feed(tick, lossy);
  }

  void Settle() {
    late.clear();
    for (int i = 0; i < 200; ++i) {
      for (auto& card : cards) card.Load();
      Tick(false);
    }
  }

  bool CoversAll() const {
    std::vector<int> counts(20, 0);
    for (const auto& card : cards) {
      const LayerRange& held = card.state.card.held;
      for (auto i = held.first; i < held.end; ++i) ++counts[i];
    }
    return std::find(counts.begin(), counts.end(), 0) == counts.end();
  }
};

}  // namespace

TEST_CASE("the first layout waits for all upstreams and orders each once") {
  OrdersWorld world(4);
  world.Tick(false);
  CHECK(world.sent == 0);
  world.Settle();
  CHECK(world.sent == 4);
  CHECK(world.CoversAll());
}

TEST_CASE("late orders and restarts never overfill a card and end covered") {
  CHECK(rc::check("any faults", [] {
    OrdersWorld world(*rc::gen::inRange(2, 6));
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      const auto pick = static_cast<std::size_t>(
          *rc::gen::inRange<int>(0, static_cast<int>(world.cards.size())));
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          world.cards[pick].Restart();
          break;
        case 1:
          if (!world.late.empty()) {
            const Flight flight = world.late.front();
            world.late.pop_front();
            world.Find(flight.order.upstream).Accept(flight.order);
          }
          break;
        case 2:
        case 3:
          world.cards[pick].Load();
          break;
        default:
          world.Tick(true);
      }
    }
    world.Settle();
    const std::uint32_t most = MaxLayers(MakeModel(), kMemoryMb);
    for (const auto& card : world.cards) {
      RC_ASSERT(card.most_layers <= most);
    }
    RC_ASSERT(world.CoversAll());
  }));
}

TEST_CASE("upstreams that hold their layers get no order") {
  OrdersWorld world(2);
  world.cards[0].state.card.held = {0, 12};
  world.cards[1].state.card.held = {8, 20};
  world.cards[0].sequence = world.cards[1].sequence = 5;
  world.Settle();
  CHECK(world.sent == 0);
}

TEST_CASE("an upstream that is loading by another's order is left alone") {
  OrdersWorld world(3);
  world.cards[0].state.card.held = {0, 12};
  world.cards[1].sequence = 1;
  world.cards[1].loading = {12, 20};
  world.Tick(false);
  world.Tick(false);
  // The loading one isn't known to cover its layers, the empty one does.
  world.Settle();
  CHECK(world.cards[1].sequence == 1);
  CHECK(world.CoversAll());
}

namespace {

/// Counts what a tick asks for.
struct TickCounts {
  int orders = 0;
  int questions = 0;
};

TickCounts Count(const std::vector<LayerOrderAction>& actions) {
  TickCounts counts;
  for (const auto& action : actions) {
    std::visit(Overloaded{
                   [&](const SendLayerOrder&) { ++counts.orders; },
                   [&](const QuerySequence&) { ++counts.questions; },
               },
               action);
  }
  return counts;
}

constexpr Duration kLater = std::chrono::seconds(5);

/// One upstream of which the first order was sent.
struct OneOrder {
  LayerOrders orders{MakeModel()};
  TimePoint now;
  OrdersTick tick;

  OneOrder() {
    tick.upstreams.push_back({{.name = UpstreamName("u0"),
                               .data_centre = DataCentreName("a"),
                               .memory_mb = 2 * kMemoryMb},
                              1});
    orders.Handle(tick, now);
    now += kLater;
    CHECK(Count(orders.Handle(tick, now)).orders == 1);
  }
};

}  // namespace

TEST_CASE("after an order without an answer the upstream is asked first") {
  OneOrder world;
  world.orders.Handle(
      LayerOrderEnded{UpstreamName("u0"), LayerOrderResult::kLost}, world.now);
  world.now += kLater;
  const auto counts = Count(world.orders.Handle(world.tick, world.now));
  CHECK(counts.orders == 0);
  CHECK(counts.questions == 1);
}

TEST_CASE("a restarted upstream is asked before it gets an order") {
  OneOrder world;
  world.orders.Handle(
      LayerOrderEnded{UpstreamName("u0"), LayerOrderResult::kAccepted},
      world.now);
  world.tick.upstreams[0].card.held = {0, 20};
  world.now += kLater;
  CHECK(Count(world.orders.Handle(world.tick, world.now)).orders == 0);
  world.tick.upstreams[0].card.held = {};
  world.tick.upstreams[0].started_ms = 2;
  world.now += kLater;
  const auto counts = Count(world.orders.Handle(world.tick, world.now));
  CHECK(counts.orders == 0);
  CHECK(counts.questions == 1);
}

}  // namespace wisteriayoke
