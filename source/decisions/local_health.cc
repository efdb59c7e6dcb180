#include "decisions/local_health.h"

#include <algorithm>
#include <bit>

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kProbesMask = (1U << LocalHealth::kProbes) - 1;
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

void LocalHealth::RecordProbe(bool answered) {
  unanswered_ = (unanswered_ << 1U | (answered ? 0U : 1U)) & kProbesMask;
}

int LocalHealth::score() const {
  // One member that doesn't answer says nothing about this daemon.
  const int unanswered = std::max(0, std::popcount(unanswered_) - 1);
  const auto late = lateness_ / (2 * tick_interval_);
  return std::min<int>(
      kMaxScore,
      unanswered + static_cast<int>(std::min<Duration::rep>(kMaxScore, late)));
}

}  // namespace wisteriayoke
