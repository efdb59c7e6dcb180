#ifndef WISTERIAYOKE_DECISIONS_TOKEN_BUCKET_H_
#define WISTERIAYOKE_DECISIONS_TOKEN_BUCKET_H_

#include <cstdint>

#include "base/time_types.h"

namespace wisteriayoke {

/// Allows a number of events in each period on average, and `burst` at once.
class TokenBucket {
 public:
  /// Starts with `burst` tokens; one more comes each `interval`.
  TokenBucket(Duration interval, std::uint32_t burst)
      : interval_(interval), burst_(burst) {}

  /// Takes a token if there is one.
  bool TryTake(TimePoint now);

 private:
  Duration interval_;
  std::uint32_t burst_;
  /// When the bucket will be full again; the bucket holds the tokens of the
  /// time that is left until then less.
  TimePoint full_at_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TOKEN_BUCKET_H_
