#include "decisions/probe_delays.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

constexpr int kMeanGain = 8;
constexpr int kDeviationGain = 4;
constexpr int kDeviations = 4;

}  // namespace

void ProbeDelays::Delay::Add(Duration delay) {
  const Duration error = delay - mean;
  deviation += (std::chrono::abs(error) - deviation) / kDeviationGain;
  mean += error / kMeanGain;
}

Duration ProbeDelays::Delay::Timeout() const {
  return std::clamp<Duration>(mean + kDeviations * deviation, kLeast, kMost);
}

void ProbeDelays::Record(const DaemonName& member, Duration delay) {
  all_.Add(delay);
  const auto [found, is_first] =
      delays_.try_emplace(member, Delay{delay, delay / 2});
  if (!is_first) found->second.Add(delay);
}

Duration ProbeDelays::TimeoutOf(const DaemonName& member, bool degraded) const {
  const auto found = delays_.find(member);
  if (found == delays_.end()) return all_.Timeout();
  if (!degraded) return found->second.Timeout();
  return std::max(found->second.Timeout(), all_.Timeout());
}

}  // namespace wisteriayoke
