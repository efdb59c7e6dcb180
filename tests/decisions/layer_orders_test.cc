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

/// An order without an answer that may arrive after newer orders.
struct PendingOrder {
  SendLayerOrder order;
  bool answered = true;
};

/// An upstream as the platform specifies it: it accepts an order only with its
/// current sequence number, and only while it isn't loading.
struct FakeHost {
  PlacedUpstream state;
  OrderSequence sequence = 0;
  LayerRange loading;
  std::uint32_t max_ordered_layers = 0;  ///< Most layers in an accepted order.

  bool Accept(const SendLayerOrder& order) {
    if (loading != LayerRange{} || order.expected != sequence) return false;
    ++sequence;
    loading = order.layers;
    state.host.held = {};
    max_ordered_layers =
        std::max(max_ordered_layers, order.layers.end - order.layers.first);
    return true;
  }
  void Load() {
    if (loading == LayerRange{}) return;
    state.host.held = std::exchange(loading, LayerRange{});
  }
  void Restart() {
    ++state.started_ms;
    sequence = 0;
    loading = state.host.held = {};
  }
};

/// Upstreams, their late orders and the decider under test.
struct OrdersSimulation {
  std::vector<FakeHost> hosts;
  LayerOrders orders{MakeModel()};
  std::deque<PendingOrder> late_orders;
  TimePoint now{std::chrono::seconds(100)};
  int sent = 0;

  explicit OrdersSimulation(int count) {
    for (int i = 0; i < count; ++i) {
      FakeHost host;
      host.state.host = {.name = UpstreamName("u" + std::to_string(i)),
                         .data_centre = DataCentreName("a"),
                         .memory_mb = kMemoryMb};
      host.state.started_ms = 1;
      hosts.push_back(host);
    }
  }

  FakeHost& Find(const UpstreamName& name) {
    return *std::find_if(hosts.begin(), hosts.end(), [&](const FakeHost& host) {
      return host.state.host.name == name;
    });
  }

  void Feed(const LayerOrderEvent& event, bool lossy) {
    for (const auto& action : orders.Handle(event, now)) {
      std::visit(Overloaded{
                     [&](const SendLayerOrder& order) { Send(order, lossy); },
                     [&](const QuerySequence& query) {
                       const FakeHost& host = Find(query.upstream);
                       Feed(SequenceReported{query.upstream, host.sequence,
                                             host.loading != LayerRange{}},
                            lossy);
                     },
                 },
                 action);
    }
  }

  void Send(const SendLayerOrder& order, bool lossy) {
    ++sent;
    const int fault = lossy ? *rc::gen::inRange(0, 4) : 0;
    if (fault == 3) {
      late_orders.push_back({order});
      return Feed(LayerOrderEnded{order.upstream, LayerOrderResult::kLost},
                  lossy);
    }
    const bool accepted = Find(order.upstream).Accept(order);
    const auto result = fault == 2 ? LayerOrderResult::kLost
                        : accepted ? LayerOrderResult::kAccepted
                                   : LayerOrderResult::kMismatched;
    Feed(LayerOrderEnded{order.upstream, result}, lossy);
  }

  void Tick(bool lossy) {
    now += std::chrono::milliseconds(200);
    OrdersTick tick;
    for (const auto& host : hosts) tick.upstreams.push_back(host.state);
    Feed(tick, lossy);
  }

  void Settle() {
    late_orders.clear();
    for (int i = 0; i < 200; ++i) {
      for (auto& host : hosts) host.Load();
      Tick(false);
    }
  }

  bool CoversAll() const {
    std::vector<int> counts(20, 0);
    for (const auto& host : hosts) {
      const LayerRange& held = host.state.host.held;
      for (auto i = held.first; i < held.end; ++i) ++counts[i];
    }
    return std::find(counts.begin(), counts.end(), 0) == counts.end();
  }
};

}  // namespace

TEST_CASE("the first layout waits for all upstreams and orders each once") {
  OrdersSimulation simulation(4);
  simulation.Tick(false);
  CHECK(simulation.sent == 0);
  simulation.Settle();
  CHECK(simulation.sent == 4);
  CHECK(simulation.CoversAll());
}

TEST_CASE("late orders and restarts overfill no host; all layers end covered") {
  CHECK(rc::check("any faults", [] {
    OrdersSimulation simulation(*rc::gen::inRange(2, 6));
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      const auto index = static_cast<std::size_t>(
          *rc::gen::inRange<int>(0, static_cast<int>(simulation.hosts.size())));
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          simulation.hosts[index].Restart();
          break;
        case 1:
          if (!simulation.late_orders.empty()) {
            const PendingOrder pending = simulation.late_orders.front();
            simulation.late_orders.pop_front();
            simulation.Find(pending.order.upstream).Accept(pending.order);
          }
          break;
        case 2:
        case 3:
          simulation.hosts[index].Load();
          break;
        default:
          simulation.Tick(true);
      }
    }
    simulation.Settle();
    const std::uint32_t max_layers = MaxLayers(MakeModel(), kMemoryMb);
    for (const auto& host : simulation.hosts) {
      RC_ASSERT(host.max_ordered_layers <= max_layers);
    }
    RC_ASSERT(simulation.CoversAll());
  }));
}

TEST_CASE("upstreams that hold their layers get no order") {
  OrdersSimulation simulation(2);
  simulation.hosts[0].state.host.held = {0, 12};
  simulation.hosts[1].state.host.held = {8, 20};
  simulation.hosts[0].sequence = simulation.hosts[1].sequence = 5;
  simulation.Settle();
  CHECK(simulation.sent == 0);
}

TEST_CASE("an upstream that loads by order of another daemon gets no order") {
  OrdersSimulation simulation(3);
  simulation.hosts[0].state.host.held = {0, 12};
  simulation.hosts[1].sequence = 1;
  simulation.hosts[1].loading = {12, 20};
  simulation.Tick(false);
  simulation.Tick(false);
  // The layers that it loads aren't known yet; the empty upstream covers them.
  simulation.Settle();
  CHECK(simulation.hosts[1].sequence == 1);
  CHECK(simulation.CoversAll());
}

namespace {

/// Number of actions of each kind after a tick.
struct TickCounts {
  int orders = 0;
  int queries = 0;
};

TickCounts Count(const std::vector<LayerOrderAction>& actions) {
  TickCounts counts;
  for (const auto& action : actions) {
    std::visit(Overloaded{
                   [&](const SendLayerOrder&) { ++counts.orders; },
                   [&](const QuerySequence&) { ++counts.queries; },
               },
               action);
  }
  return counts;
}

constexpr Duration kLater = std::chrono::seconds(5);

/// One upstream that was sent its first order.
struct SingleOrderSimulation {
  LayerOrders orders{MakeModel()};
  TimePoint now;
  OrdersTick tick;

  SingleOrderSimulation() {
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

TEST_CASE(
    "after an unanswered order the upstream's sequence is queried first") {
  SingleOrderSimulation simulation;
  simulation.orders.Handle(
      LayerOrderEnded{UpstreamName("u0"), LayerOrderResult::kLost},
      simulation.now);
  simulation.now += kLater;
  const auto counts =
      Count(simulation.orders.Handle(simulation.tick, simulation.now));
  CHECK(counts.orders == 0);
  CHECK(counts.queries == 1);
}

TEST_CASE("an upstream that wants no work keeps its layers and gets no order") {
  LayerOrders orders{MakeModel()};
  OrdersTick tick;
  tick.upstreams.push_back({{.name = UpstreamName("u0"),
                             .data_centre = DataCentreName("a"),
                             .memory_mb = 2 * kMemoryMb,
                             .loading = true},
                            1});
  TimePoint now;
  orders.Handle(tick, now);
  now += kLater;
  CHECK(Count(orders.Handle(tick, now)).orders == 0);
  // Once it wants work again it gets the order that it was due.
  tick.upstreams[0].host.loading = false;
  now += kLater;
  CHECK(Count(orders.Handle(tick, now)).orders == 1);
}

TEST_CASE("a restarted upstream is queried before it gets an order") {
  SingleOrderSimulation simulation;
  simulation.orders.Handle(
      LayerOrderEnded{UpstreamName("u0"), LayerOrderResult::kAccepted},
      simulation.now);
  simulation.tick.upstreams[0].host.held = {0, 20};
  simulation.now += kLater;
  CHECK(
      Count(simulation.orders.Handle(simulation.tick, simulation.now)).orders ==
      0);
  simulation.tick.upstreams[0].host.held = {};
  simulation.tick.upstreams[0].started_ms = 2;
  simulation.now += kLater;
  const auto counts =
      Count(simulation.orders.Handle(simulation.tick, simulation.now));
  CHECK(counts.orders == 0);
  CHECK(counts.queries == 1);
}

}  // namespace wisteriayoke
