#include "supervisor/context/log_limiter.h"

namespace wisteriayoke {

bool LogLimiter::Admit(LogLevel level, TimePoint now) {
  TokenBucket& bucket =
      level >= LogLevel::kWarning ? warning_bucket_ : info_bucket_;
  const bool admitted = bucket.TryTake(now);
  if (!admitted) ++dropped_;
  return admitted;
}

}  // namespace wisteriayoke
