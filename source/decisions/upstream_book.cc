#include "decisions/upstream_book.h"

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kFailuresBeforeEjection = 1;
constexpr Duration kEjectionTime = std::chrono::milliseconds(500);

}  // namespace

void UpstreamBook::Retain(const TableSet& tables) {
  std::map<UpstreamName, UpstreamState> kept;
  for (const auto& pool : tables.spec().pools) {
    for (const auto& upstream : pool.upstreams) {
      const auto found = states_.find(upstream.name);
      if (found != states_.end()) kept.insert(*found);
    }
  }
  states_ = std::move(kept);
}

void UpstreamBook::RecordStart(const UpstreamName& name) {
  ++states_[name].in_flight;
}

void UpstreamBook::RecordEnd(const UpstreamName& name) {
  UpstreamState& state = states_[name];
  if (state.in_flight > 0) --state.in_flight;
}

void UpstreamBook::RecordSuccess(const UpstreamName& name) {
  RecordEnd(name);
  states_[name].consecutive_failures = 0;
  states_[name].ejected_until.reset();
}

void UpstreamBook::RecordFailure(const UpstreamName& name, TimePoint now) {
  RecordEnd(name);
  UpstreamState& state = states_[name];
  if (++state.consecutive_failures >= kFailuresBeforeEjection) {
    state.ejected_until = now + kEjectionTime;
  }
}

void UpstreamBook::SetLeaving(const UpstreamName& name, bool leaving) {
  states_[name].leaving = leaving;
}

UpstreamHealth UpstreamBook::HealthOf(const UpstreamName& name,
                                      TimePoint now) const {
  const UpstreamState& state = StateOf(name);
  if (state.leaving) return UpstreamHealth::kLeaving;
  if (state.ejected_until && now < *state.ejected_until) {
    return UpstreamHealth::kEjected;
  }
  return UpstreamHealth::kHealthy;
}

const UpstreamState& UpstreamBook::StateOf(const UpstreamName& name) const {
  static const UpstreamState kUnseen;
  const auto found = states_.find(name);
  return found == states_.end() ? kUnseen : found->second;
}

std::vector<const UpstreamSpec*> UpstreamBook::ListUsable(
    const Pool& pool, const std::set<UpstreamName>& excluded,
    TimePoint now) const {
  std::vector<const UpstreamSpec*> usable;
  for (const auto& upstream : pool.upstreams) {
    if (excluded.contains(upstream.name)) continue;
    if (HealthOf(upstream.name, now) != UpstreamHealth::kHealthy) continue;
    usable.push_back(&upstream);
  }
  return usable;
}

}  // namespace wisteriayoke
