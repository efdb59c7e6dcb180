#include "decisions/layer_orders.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {

std::vector<LayerOrderAction> LayerOrders::Handle(const LayerOrderEvent& event,
                                                  TimePoint now) {
  return std::visit(
      Overloaded{
          [&](const OrdersTick& tick) { return HandleTick(tick, now); },
          [&](const LayerOrderEnded& end) {
            HandleEnd(end, now);
            return Actions{};
          },
          [&](const SequenceReported& report) {
            HandleSequence(report, now);
            return Actions{};
          },
      },
      event);
}

LayerOrders::Actions LayerOrders::HandleTick(const OrdersTick& tick,
                                             TimePoint now) {
  TrackUpstreams(tick, now);
  if (MustWait(now)) return {};
  std::vector<LayerHost> hosts;
  std::set<UpstreamName> unavailable;
  for (const auto& upstream : tick.upstreams) {
    LayerHost host = upstream.host;
    const OrderState& state = states_.at(host.name);
    if (state.ordered) host.held = *state.ordered;
    host.loading =
        host.loading || state.busy || state.ordered || !state.sequence;
    if (upstream.host.loading) unavailable.insert(host.name);
    hosts.push_back(std::move(host));
  }
  Actions actions;
  for (const auto& [name, layers] : PlanLayers(model_, hosts)) {
    OrderState& state = states_.at(name);
    if (state.busy || !state.sequence || unavailable.contains(name)) continue;
    if (state.ordered.value_or(state.held) == layers) continue;
    actions.push_back(MakeOrder(name, state, layers, now));
  }
  QueryUnknownSequences(now, actions);
  return actions;
}

void LayerOrders::TrackUpstreams(const OrdersTick& tick, TimePoint now) {
  for (const auto& upstream : tick.upstreams) {
    has_layout_ = has_layout_ || upstream.host.held != LayerRange{};
  }
  for (const auto& upstream : tick.upstreams) TrackUpstream(upstream, now);
  std::erase_if(states_, [&tick](const auto& item) {
    return std::none_of(tick.upstreams.begin(), tick.upstreams.end(),
                        [&item](const PlacedUpstream& upstream) {
                          return upstream.host.name == item.first;
                        });
  });
}

void LayerOrders::TrackUpstream(const PlacedUpstream& upstream, TimePoint now) {
  const auto [found, added] = states_.try_emplace(upstream.host.name);
  OrderState& state = found->second;
  if (added) last_joined_at_ = now;
  if (added || state.started_ms != upstream.started_ms) {
    const bool busy = state.busy;
    state = OrderState{.started_ms = upstream.started_ms, .busy = busy};
    // No upstream got an order before the first layout.
    if (!has_layout_) state.sequence = 0;
  }
  state.held = upstream.host.held;
  if (state.ordered == state.held) state.ordered.reset();
  if (state.ordered && now - state.ordered_at >= kMaxLoadTime) {
    state.ordered.reset();
    state.sequence.reset();
  }
}

bool LayerOrders::MustWait(TimePoint now) const {
  const bool empty =
      std::all_of(states_.begin(), states_.end(), [](const auto& item) {
        return item.second.held == LayerRange{} && !item.second.ordered;
      });
  return empty && now - last_joined_at_ < kSettleTime;
}

/// Queries the upstreams whose sequence is unknown.
void LayerOrders::QueryUnknownSequences(TimePoint now, Actions& actions) {
  for (auto& [name, state] : states_) {
    if (state.sequence || state.busy) continue;
    if (now - state.ordered_at < kQueryDelay) continue;
    state.busy = true;
    actions.emplace_back(QuerySequence{name});
  }
}

LayerOrderAction LayerOrders::MakeOrder(const UpstreamName& upstream,
                                        OrderState& state,
                                        const LayerRange& layers,
                                        TimePoint now) {
  state.busy = true;
  state.ordered = layers;
  state.ordered_at = now;
  return SendLayerOrder{upstream, layers, *state.sequence};
}

void LayerOrders::HandleEnd(const LayerOrderEnded& end, TimePoint now) {
  const auto found = states_.find(end.upstream);
  if (found == states_.end()) return;
  OrderState& state = found->second;
  state.busy = false;
  if (!state.sequence) return;
  if (end.result == LayerOrderResult::kAccepted) {
    ++*state.sequence;
    return;
  }
  state.sequence.reset();
  state.ordered.reset();
  state.ordered_at = now;
}

void LayerOrders::HandleSequence(const SequenceReported& report,
                                 TimePoint now) {
  const auto found = states_.find(report.upstream);
  if (found == states_.end()) return;
  found->second.busy = false;
  if (report.loading || !report.sequence) {
    found->second.ordered_at = now;
    return;
  }
  found->second.sequence = report.sequence;
}

}  // namespace wisteriayoke
