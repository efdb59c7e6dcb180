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

/// Returns whether an engine must load weights to change from one state to the
/// other; a change of role alone needs none.
bool NeedsLoad(const EngineState& from, const EngineState& to) {
  EngineState same_role = from;
  same_role.role = to.role;
  return same_role != to;
}

}  // namespace

EngineState DesiredState(const Pool& pool, const UpstreamSpec& upstream) {
  EngineState desired{
      .model = pool.model, .layers = upstream.layers, .role = upstream.role};
  if (pool.placement) {
    desired.version = pool.placement->version;
    desired.adapters = pool.placement->adapters;
  }
  return desired;
}

PlacementPlan::PlacementPlan(const Pool& pool)
    : loads_(LoadInterval(pool), kLoadBurst) {
  for (const auto& upstream : pool.upstreams) {
    engines_[upstream.name].desired = DesiredState(pool, upstream);
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
    // Another lease holder may have sent orders in the meantime.
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
  if (event.state == engine.desired) return {};
  if (!held || *held <= fenced_) return {};
  if (NeedsLoad(event.state, engine.desired)) {
    if (IsOtherLoading(event.upstream) || !loads_.TryTake(now)) return {};
    engine.loading = true;
  }
  engine.busy = true;
  return {SendOrder{event.upstream, {*held, engine.desired}}};
}

void PlacementPlan::HandleEnd(const OrderEnded& event) {
  engines_[event.upstream].busy = false;
  if (event.result != OrderResult::kFenced) return;
  engines_[event.upstream].loading = false;
  fenced_ = std::max(fenced_, event.fencing);
}

bool PlacementPlan::IsOtherLoading(const UpstreamName& name) const {
  return std::any_of(engines_.begin(), engines_.end(),
                     [&name](const auto& entry) {
                       return entry.first != name && entry.second.loading;
                     });
}

}  // namespace wisteriayoke
