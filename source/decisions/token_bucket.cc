#include "decisions/token_bucket.h"

#include <algorithm>

namespace wisteriayoke {

bool TokenBucket::TryTake(TimePoint now) {
  const TimePoint full_at = std::max(full_at_, now) + interval_;
  if (full_at - now > interval_ * burst_) return false;
  full_at_ = full_at;
  return true;
}

}  // namespace wisteriayoke
