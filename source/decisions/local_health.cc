#include "decisions/local_health.h"

#include <algorithm>
#include <set>

namespace wisteriayoke {
namespace {

/// Ticks until the lateness that counts has fallen to about a third.
constexpr int kDecayTicks = 8;

}  // namespace

Duration LocalHealth::RecordTick(TimePoint now) {
  Duration late{};
  if (last_tick_) {
    late = std::max(Duration::zero(), now - *last_tick_ - tick_interval_);
  }
  last_tick_ = now;
  lateness_ = std::max(late, lateness_ - lateness_ / kDecayTicks);
  return late;
}

void LocalHealth::RecordProbe(const DaemonName& member, bool answered) {
  probes_.push_back({member, answered});
  if (probes_.size() > kProbes) probes_.pop_front();
}

std::size_t LocalHealth::CountSilentMembers() const {
  std::set<DaemonName> silent;
  for (const auto& probe : probes_) {
    if (!probe.answered) silent.insert(probe.member);
  }
  return silent.size();
}

int LocalHealth::score() const {
  // One member that doesn't answer says nothing about this daemon, also if it
  // dies once more soon after its restart.
  const int unanswered =
      std::max(0, static_cast<int>(CountSilentMembers()) - 1);
  const auto late = lateness_ / (2 * tick_interval_);
  return std::min<int>(
      kMaxScore,
      unanswered + static_cast<int>(std::min<Duration::rep>(kMaxScore, late)));
}

}  // namespace wisteriayoke
