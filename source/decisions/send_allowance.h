#ifndef WISTERIAYOKE_DECISIONS_SEND_ALLOWANCE_H_
#define WISTERIAYOKE_DECISIONS_SEND_ALLOWANCE_H_

#include "base/time_types.h"

namespace wisteriayoke {

/// Limits how often something is done in each period of time.
class SendAllowance {
 public:
  SendAllowance(unsigned limit, Duration period)
      : limit_(limit), period_(period) {}

  /// Returns whether it may be done once more at `now`, and counts it.
  bool Take(TimePoint now) {
    if (now - started_ >= period_) {
      started_ = now;
      taken_ = 0;
    }
    if (taken_ >= limit_) return false;
    ++taken_;
    return true;
  }

 private:
  unsigned limit_;
  Duration period_;
  TimePoint started_{};
  unsigned taken_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_SEND_ALLOWANCE_H_
