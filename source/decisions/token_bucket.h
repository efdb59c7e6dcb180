#ifndef WISTERIAYOKE_DECISIONS_TOKEN_BUCKET_H_
#define WISTERIAYOKE_DECISIONS_TOKEN_BUCKET_H_

#include <cstdint>

#include "base/time_types.h"

namespace wisteriayoke {

/// Allows one event per interval on average, and up to a burst at once.
class TokenBucket {
 public:
  /// Starts with `burst` tokens; one is added each `interval`, up to `burst`.
  TokenBucket(Duration interval, std::uint32_t burst)
      : interval_(interval), burst_(burst) {}

  /// Takes a token if there is one.
  bool TryTake(TimePoint now);

 private:
  Duration interval_;
  std::uint32_t burst_;
  /// Time at which the bucket is full again. Until then it lacks one token for
  /// each interval that remains.
  TimePoint full_at_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TOKEN_BUCKET_H_
