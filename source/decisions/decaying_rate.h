#ifndef WISTERIAYOKE_DECISIONS_DECAYING_RATE_H_
#define WISTERIAYOKE_DECISIONS_DECAYING_RATE_H_

#include "base/time_types.h"

namespace wisteriayoke {

/// Estimates how often something happens, from the events of the last seconds;
/// older ones weigh less.
class DecayingRate {
 public:
  /// Records an event at `now`.
  void Record(TimePoint now);

  /// Returns the events a second.
  double RateAt(TimePoint now) const;

 private:
  double events_ = 0;  ///< Events, weighted by age, at `recorded_at_`.
  TimePoint recorded_at_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_DECAYING_RATE_H_
