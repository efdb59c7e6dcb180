#include "decisions/decaying_rate.h"

#include <cmath>

namespace wisteriayoke {
namespace {

/// Time over which events are averaged.
constexpr std::chrono::duration<double> kRateTime{2.0};

}  // namespace

double DecayingRate::RateAt(TimePoint now) const {
  const std::chrono::duration<double> age = now - recorded_at_;
  return events_ * std::exp(-age / kRateTime) / kRateTime.count();
}

void DecayingRate::Record(TimePoint now) {
  events_ = RateAt(now) * kRateTime.count() + 1;
  recorded_at_ = now;
}

}  // namespace wisteriayoke
