#include "decisions/place_queue.h"

#include <algorithm>
#include <cmath>

namespace wisteriayoke {
namespace {

/// Time over which starts are averaged.
constexpr std::chrono::duration<double> kRateTime{2.0};
/// Starts a second assumed at least, for a daemon that has just begun.
constexpr double kMinRate = 2.0;
/// Part of the rate of starts that is given to callers that return.
constexpr double kReturnShare = 0.15;
/// Step between the positions of returns beyond the schedule, as parts of a
/// range; multiples of the golden ratio fill it evenly.
constexpr double kGoldenStep = 0.618;

}  // namespace

double PlaceQueue::RateAt(TimePoint now) const {
  const std::chrono::duration<double> age = now - started_at_;
  return starts_ * std::exp(-age / kRateTime) / kRateTime.count();
}

void PlaceQueue::RecordStart(TimePoint now) {
  starts_ = RateAt(now) * kRateTime.count() + 1;
  started_at_ = now;
}

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
                                    TimePoint now) {
  if (most <= least) return most;
  const double rate = kReturnShare * std::max(kMinRate, RateAt(now));
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / rate));
  const TimePoint due = std::max(next_return_, now + least);
  if (due - now <= most) {
    next_return_ = due + interval;
    return due - now;
  }
  // The schedule is full, so the caller returns at some time in its later half.
  spread_ = std::fmod(spread_ + kGoldenStep, 1.0);
  const auto half = (most - least) / 2;
  return most - std::chrono::duration_cast<Duration>(half * spread_);
}

}  // namespace wisteriayoke
