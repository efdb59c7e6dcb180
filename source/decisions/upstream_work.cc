#include "decisions/upstream_work.h"

#include <algorithm>
#include <cmath>

namespace wisteriayoke {
namespace {

/// Time constant of the average of the peers' counts. A sample of the daemons
/// is noisy, while the load of an upstream changes over seconds.
constexpr double kPeerAverageSeconds = 2;
/// Part of the variance of a sample that is left in that average.
constexpr double kAveragedNoise = 0.5;
/// Part of the growth of running requests that is kept free. Half of it would
/// be occupied if none of them ended; others that end leave most of that.
constexpr double kGrowthShare = 0.1;
/// Weight of a request in the mean of the layers that it runs.
constexpr double kLayersWeight = 0.05;
/// Factor on the effect of a rejection once a request was accepted.
constexpr double kAcceptanceFactor = 0.7;

/// Changes of the capacity factor by an accepted stage and by a rejected
/// request, and its bounds. A path has two or three stages.
constexpr double kFactorRise = 0.001;
constexpr double kFactorFall = 0.2;
constexpr double kLeastCapacityFactor = 0.95;
constexpr double kMostCapacityFactor = 1.3;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double OccupiedOf(const WorkAmount& amount) {
  return amount.now + kGrowthShare * (amount.at_end - amount.now);
}

}  // namespace

void UpstreamWork::Add(const UpstreamName& name, const WorkAmount& amount,
                       double layers) {
  State& state = states_[name];
  if (state.mean_layers <= 0) state.mean_layers = layers;
  state.mean_layers += kLayersWeight * (layers - state.mean_layers);
  ++state.requests;
  state.own.now += amount.now;
  state.own.at_end += amount.at_end;
}

void UpstreamWork::Change(const UpstreamName& name, const WorkAmount& former,
                          const WorkAmount& amount) {
  const auto found = states_.find(name);
  if (found == states_.end()) return;
  found->second.own.now += amount.now - former.now;
  found->second.own.at_end += amount.at_end - former.at_end;
}

void UpstreamWork::Remove(const UpstreamName& name, const WorkAmount& amount) {
  const auto found = states_.find(name);
  if (found == states_.end()) return;
  State& state = found->second;
  Change(name, amount, {});
  if (state.requests > 0) --state.requests;
  // Keeps rounding errors from adding up.
  if (state.requests == 0) state.own = {};
  if (states_.size() > kMaxIdle) Prune();
}

void UpstreamWork::Prune() {
  std::erase_if(states_,
                [](const auto& item) { return item.second.requests == 0; });
}

void UpstreamWork::RecordRejection(const UpstreamName& name, double capacity,
                                   TimePoint now) {
  State& state = states_[name];
  capacity_factor_ =
      std::max(kLeastCapacityFactor, capacity_factor_ - kFactorFall);
  state.excess = std::max(0.0, capacity * capacity_factor_ - state.estimated);
  state.excess_at = now;
}

void UpstreamWork::RecordAcceptance(const UpstreamName& name) {
  capacity_factor_ =
      std::min(kMostCapacityFactor, capacity_factor_ + kFactorRise);
  const auto found = states_.find(name);
  if (found != states_.end()) found->second.excess *= kAcceptanceFactor;
}

WorkEstimate UpstreamWork::Estimate(const UpstreamName& name,
                                    const PeerWork& peers, TimePoint now) {
  State& state = states_[name];
  const double passed = SecondsBetween(state.peers_at, now);
  const double share = 1 - std::exp(-passed / kPeerAverageSeconds);
  state.peer_requests += share * (peers.requests - state.peer_requests);
  state.peers_at = now;
  const double layers =
      state.mean_layers > 0 ? state.mean_layers : peers.layers;
  const double each = layers * OccupiedOf(peers.each);
  state.estimated = OccupiedOf(state.own) + state.peer_requests * each;
  const double lifetime =
      std::chrono::duration<double>(kRejectionLifetime).count();
  const double excess =
      state.excess * std::exp(-SecondsBetween(state.excess_at, now) / lifetime);
  // One request more than counted, so that an upstream without any in the
  // sample isn't taken for certainly idle.
  const double count = peers.scale > 1 ? state.peer_requests + 1 : 0;
  const double counting =
      std::sqrt(kAveragedNoise * count * (peers.scale - 1)) * each;
  const double amounts = std::sqrt(state.peer_requests + state.requests) *
                         layers * peers.each_deviation;
  return {state.estimated, std::hypot(counting, amounts), excess};
}

WorkAmount UpstreamWork::OwnOf(const UpstreamName& name) const {
  const auto found = states_.find(name);
  return found == states_.end() ? WorkAmount{} : found->second.own;
}

}  // namespace wisteriayoke
