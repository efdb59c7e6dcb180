#include "supervisor/context/log_limiter.h"

namespace wisteriayoke {

bool LogLimiter::Admit(LogLevel level, TimePoint now) {
  TokenBucket& bucket = level >= LogLevel::kWarning ? failures_ : news_;
  const bool admitted = bucket.TryTake(now);
  if (!admitted) ++dropped_;
  return admitted;
}

}  // namespace wisteriayoke
