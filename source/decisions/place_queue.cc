#include "decisions/place_queue.h"

#include <algorithm>
#include <cmath>

namespace wisteriayoke {
namespace {

/// Starts a second assumed at least, for a daemon that has just begun.
constexpr double kMinRate = 2.0;
/// Part of the rate of starts that is given to callers that return.
constexpr double kReturnShare = 0.15;
/// Step between the positions of returns beyond the schedule, as parts of a
/// range; multiples of the golden ratio fill it evenly.
constexpr double kGoldenStep = 0.618;

}  // namespace

bool PlaceQueue::TryJoin(Duration limit, TimePoint now) {
  const double expected =
      RateAt(now) * std::chrono::duration<double>(limit).count();
  if (waiting_ >= kMinWaiting + static_cast<std::size_t>(expected)) {
    return false;
  }
  ++waiting_;
  return true;
}

void PlaceQueue::Leave() {
  if (waiting_ > 0) --waiting_;
}

bool PlaceQueue::MaySearch(bool waiting, TimePoint now) const {
  if (!waiting) return waiting_ == 0;
  return !busy_at_ || now - *busy_at_ >= kSearchInterval;
}

Duration PlaceQueue::ScheduleReturn(Duration least, Duration most,
                                    TimePoint now, RequestRank rank) {
  if (most <= least) return most;
  const double rate = kReturnShare * std::max(kMinRate, RateAt(now));
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / rate));
  TimePoint due = now + least;
  for (const auto& [other, next] : next_returns_) {
    if (!(rank < other)) due = std::max(due, next);
  }
  if (due - now <= most) {
    next_returns_[rank] = due + interval;
    return due - now;
  }
  // The schedule is full, so the caller returns at some time in its later half.
  spread_ = std::fmod(spread_ + kGoldenStep, 1.0);
  const auto half = (most - least) / 2;
  return most - std::chrono::duration_cast<Duration>(half * spread_);
}

}  // namespace wisteriayoke
