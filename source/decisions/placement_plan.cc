#include "decisions/placement_plan.h"

#include <algorithm>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr Duration kMinute = std::chrono::minutes(1);
constexpr std::uint32_t kLoadBurst = 1;

Duration LoadInterval(const Pool& pool) {
  const std::uint32_t rate =
      pool.placement ? pool.placement->loads_per_minute : 1;
  return kMinute / std::max<std::uint32_t>(rate, 1);
}

/// Tells whether an engine has to fetch weights to go from one state to the
/// other.
bool NeedsLoad(const EngineState& from, const EngineState& to) {
  EngineState same_role = from;
  same_role.role = to.role;
  return same_role != to;
}

}  // namespace

EngineState WantedState(const Pool& pool, const UpstreamSpec& upstream) {
  EngineState wanted{
      .model = pool.model, .layers = upstream.layers, .role = upstream.role};
  if (pool.placement) {
    wanted.version = pool.placement->version;
    wanted.adapters = pool.placement->adapters;
  }
  return wanted;
}

PlacementPlan::PlacementPlan(const Pool& pool)
    : loads_(LoadInterval(pool), kLoadBurst) {
  for (const auto& upstream : pool.upstreams) {
    engines_[upstream.name].wanted = WantedState(pool, upstream);
  }
}

std::vector<PlacementAction> PlacementPlan::Handle(
    const PlacementEvent& event, std::optional<FencingNumber> held,
    TimePoint now) {
  return std::visit(Overloaded{
                        [&](const PlacementTick&) { return HandleTick(held); },
                        [&](const EngineReported& report) {
                          return HandleReport(report, held, now);
                        },
                        [&](const EngineQueryFailed& silent) {
                          engines_[silent.upstream].busy = false;
                          engines_[silent.upstream].loading = false;
                          return Actions{};
                        },
                        [&](const OrderEnded& end) {
                          HandleEnd(end);
                          return Actions{};
                        },
                    },
                    event);
}

PlacementPlan::Actions PlacementPlan::HandleTick(
    std::optional<FencingNumber> held) {
  Actions actions;
  if (!held || *held <= fenced_) return actions;
  const bool new_holder = *held != last_held_;
  last_held_ = *held;
  for (auto& [name, engine] : engines_) {
    // Another holder may have given orders meanwhile.
    if (new_holder) engine.loading = true;
    if (engine.busy) continue;
    engine.busy = true;
    actions.emplace_back(QueryEngine{name});
  }
  return actions;
}

PlacementPlan::Actions PlacementPlan::HandleReport(
    const EngineReported& event, std::optional<FencingNumber> held,
    TimePoint now) {
  Engine& engine = engines_[event.upstream];
  engine.busy = false;
  engine.loading = !event.ready;
  if (event.state == engine.wanted) return {};
  if (!held || *held <= fenced_) return {};
  if (NeedsLoad(event.state, engine.wanted)) {
    if (OthersLoad(event.upstream) || !loads_.TryTake(now)) return {};
    engine.loading = true;
  }
  engine.busy = true;
  return {SendOrder{event.upstream, {*held, engine.wanted}}};
}

void PlacementPlan::HandleEnd(const OrderEnded& event) {
  engines_[event.upstream].busy = false;
  if (event.result != OrderResult::kFenced) return;
  engines_[event.upstream].loading = false;
  fenced_ = std::max(fenced_, event.fencing);
}

bool PlacementPlan::OthersLoad(const UpstreamName& name) const {
  return std::any_of(engines_.begin(), engines_.end(),
                     [&name](const auto& entry) {
                       return entry.first != name && entry.second.loading;
                     });
}

}  // namespace wisteriayoke
