#include "decisions/upstream_tracker.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kFailuresBeforeEjection = 1;
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kLongestEjection = std::chrono::seconds(8);
/// Time without work for an upstream after its first decline; it doubles with
/// each decline, up to the longest ejection.
constexpr Duration kFirstDecline = std::chrono::milliseconds(300);
constexpr Duration kSlowStart = std::chrono::seconds(2);
constexpr double kSlowStartFirstShare = 0.25;
/// Weight of a latency sample below the average; a higher sample replaces the
/// average.
constexpr double kLatencyWeight = 0.1;
/// Time for which a reported slowdown is used.
constexpr Duration kSlowdownLifetime = std::chrono::seconds(3);

Duration BackoffTime(Duration first, std::uint32_t times) {
  Duration time = first;
  for (std::uint32_t i = 1; i < times && time < kLongestEjection; ++i) {
    time *= 2;
  }
  return std::min(time, kLongestEjection);
}

Duration AverageLatency(Duration average, Duration sample) {
  if (sample >= average) return sample;
  const auto step = static_cast<double>((average - sample).count());
  return average - Duration(static_cast<Duration::rep>(step * kLatencyWeight));
}

bool IsDeclining(const UpstreamState& state, TimePoint now) {
  return state.declined_until && now < *state.declined_until;
}

bool IsHeldOff(const UpstreamState& state, TimePoint now) {
  return state.held_off_until && now < *state.held_off_until;
}

bool IsEjected(const UpstreamState& state, TimePoint now) {
  return !state.leaving && state.ejected_until && now < *state.ejected_until;
}

/// Returns the requests of other daemons according to the upstream's report.
std::uint32_t CountReportedOthers(const LoadReport& report) {
  return report.in_flight > report.own_in_flight
             ? report.in_flight - report.own_in_flight
             : 0;
}

}  // namespace

void UpstreamTracker::Retain(const TableSet& tables) {
  std::map<UpstreamName, UpstreamState> kept;
  for (const auto& pool : tables.spec().pools) {
    for (const auto& upstream : pool.upstreams) {
      const auto found = states_.find(upstream.name);
      if (found != states_.end()) kept.insert(*found);
    }
  }
  states_ = std::move(kept);
}

void UpstreamTracker::RecordStart(const UpstreamName& name) {
  ++states_[name].in_flight;
}

void UpstreamTracker::RecordPrefillStart(const UpstreamName& name) {
  ++states_[name].prefilling;
}

void UpstreamTracker::RecordPrefillEnd(const UpstreamName& name) {
  UpstreamState& state = states_[name];
  if (state.prefilling > 0) --state.prefilling;
}

void UpstreamTracker::RecordEnd(const UpstreamName& name) {
  UpstreamState& state = states_[name];
  if (state.in_flight > 0) --state.in_flight;
}

void UpstreamTracker::RecordSuccess(const UpstreamName& name) {
  RecordEnd(name);
  Restore(name);
  states_[name].declines = 0;
}

void UpstreamTracker::RecordDecline(const UpstreamName& name, TimePoint now) {
  UpstreamState& state = states_[name];
  if (IsDeclining(state, now)) return;
  state.declined_until = now + BackoffTime(kFirstDecline, ++state.declines);
}

void UpstreamTracker::RecordHoldOff(const UpstreamName& name, Duration time,
                                    TimePoint now) {
  UpstreamState& state = states_[name];
  const TimePoint until = now + std::min(time, kMaxHoldOff);
  state.held_off_until = std::max(state.held_off_until.value_or(until), until);
}

Duration UpstreamTracker::HoldOffLeft(const UpstreamName& name,
                                      TimePoint now) const {
  const UpstreamState& state = StateOf(name);
  return IsHeldOff(state, now) ? *state.held_off_until - now : Duration::zero();
}

void UpstreamTracker::Restore(const UpstreamName& name) {
  UpstreamState& state = states_[name];
  state.consecutive_failures = 0;
  state.ejections = 0;
  state.ejected_until.reset();
}

void UpstreamTracker::RecordSuccess(const UpstreamName& name, Duration latency,
                                    TimePoint now) {
  const bool was_ejected = StateOf(name).ejected_until.has_value();
  RecordSuccess(name);
  UpstreamState& state = states_[name];
  if (was_ejected) state.slow_start_from = now;
  state.latency = AverageLatency(state.latency, latency);
}

void UpstreamTracker::RecordPoorAnswer(const UpstreamName& name,
                                       Duration latency) {
  RecordEnd(name);
  UpstreamState& state = states_[name];
  state.latency = AverageLatency(state.latency, latency);
}

void UpstreamTracker::RecordFailure(const UpstreamName& name, TimePoint now) {
  RecordEnd(name);
  Eject(name, now);
}

bool UpstreamTracker::Eject(const UpstreamName& name, TimePoint now) {
  UpstreamState& state = states_[name];
  if (IsEjected(state, now)) return false;
  if (++state.consecutive_failures < kFailuresBeforeEjection) return false;
  state.ejected_until = now + BackoffTime(kFirstEjection, ++state.ejections);
  state.slow_start_from.reset();
  return true;
}

void UpstreamTracker::SetLeaving(const UpstreamName& name, bool leaving) {
  states_[name].leaving = leaving;
}

void UpstreamTracker::Reset(const UpstreamName& name) {
  const UpstreamState& former = StateOf(name);
  states_[name] = UpstreamState{.in_flight = former.in_flight,
                                .prefilling = former.prefilling};
}

void UpstreamTracker::RecordSlowdown(const UpstreamName& name, double slowdown,
                                     TimePoint now) {
  states_[name].slowdown = slowdown;
  states_[name].slowdown_reported_at = now;
}

double UpstreamTracker::SlowdownOf(const UpstreamName& name,
                                   TimePoint now) const {
  const UpstreamState& state = StateOf(name);
  return now - state.slowdown_reported_at < kSlowdownLifetime ? state.slowdown
                                                              : 1;
}

void UpstreamTracker::RecordLoadReport(const UpstreamName& name,
                                       std::uint32_t in_flight) {
  UpstreamState& state = states_[name];
  state.report = LoadReport{in_flight, state.in_flight};
}

UpstreamHealth UpstreamTracker::HealthOf(const UpstreamName& name,
                                         TimePoint now) const {
  const UpstreamState& state = StateOf(name);
  if (state.leaving) return UpstreamHealth::kLeaving;
  if (IsDeclining(state, now) || IsHeldOff(state, now)) {
    return UpstreamHealth::kEjected;
  }
  if (!state.ejected_until) return UpstreamHealth::kHealthy;
  return now < *state.ejected_until ? UpstreamHealth::kEjected
                                    : UpstreamHealth::kProbing;
}

const UpstreamState& UpstreamTracker::StateOf(const UpstreamName& name) const {
  static const UpstreamState kUnknown;
  const auto found = states_.find(name);
  return found == states_.end() ? kUnknown : found->second;
}

std::uint32_t UpstreamTracker::CountInFlight(
    const UpstreamName& name, const PeerLoads& peer_loads) const {
  const UpstreamState& state = StateOf(name);
  const std::uint32_t others = peer_loads.InFlightOf(name);
  const bool has_peers = peer_loads.CountPeers() > 0;
  if (has_peers || !state.report) return state.in_flight + others;
  return state.in_flight + CountReportedOthers(*state.report);
}

std::uint32_t UpstreamTracker::CountSlots(const UpstreamSpec& upstream,
                                          TimePoint now) const {
  const UpstreamState& state = StateOf(upstream.name);
  if (HealthOf(upstream.name, now) == UpstreamHealth::kProbing) return 1;
  if (!state.slow_start_from) return upstream.slots;
  const double passed =
      std::chrono::duration<double>(now - *state.slow_start_from) / kSlowStart;
  const double share = std::min(
      1.0, kSlowStartFirstShare + (1.0 - kSlowStartFirstShare) * passed);
  return std::max(1U, static_cast<std::uint32_t>(share * upstream.slots));
}

std::vector<const UpstreamSpec*> UpstreamTracker::ListEjectedToKeep(
    const Pool& pool, TimePoint now) const {
  std::vector<const UpstreamSpec*> ejected;
  for (const auto& upstream : pool.upstreams) {
    if (IsEjected(StateOf(upstream.name), now)) ejected.push_back(&upstream);
  }
  const auto most = static_cast<std::size_t>(
      kMaxEjectedShare * static_cast<double>(pool.upstreams.size()));
  if (ejected.size() <= most) return {};
  std::stable_sort(ejected.begin(), ejected.end(),
                   [this](const UpstreamSpec* a, const UpstreamSpec* b) {
                     return StateOf(a->name).ejected_until <
                            StateOf(b->name).ejected_until;
                   });
  ejected.resize(ejected.size() - most);
  return ejected;
}

std::vector<const UpstreamSpec*> UpstreamTracker::ListUsable(
    const Pool& pool, const std::set<UpstreamName>& excluded,
    TimePoint now) const {
  const auto kept = ListEjectedToKeep(pool, now);
  std::vector<const UpstreamSpec*> usable;
  for (const auto& upstream : pool.upstreams) {
    if (excluded.contains(upstream.name)) continue;
    if (IsHeldOff(StateOf(upstream.name), now)) continue;
    const UpstreamHealth health = HealthOf(upstream.name, now);
    const bool busy = StateOf(upstream.name).in_flight > 0;
    const bool is_kept =
        std::find(kept.begin(), kept.end(), &upstream) != kept.end();
    if (health == UpstreamHealth::kHealthy || is_kept ||
        (health == UpstreamHealth::kProbing && !busy)) {
      usable.push_back(&upstream);
    }
  }
  return usable;
}

}  // namespace wisteriayoke
