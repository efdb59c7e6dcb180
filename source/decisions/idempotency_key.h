#ifndef WISTERIAYOKE_DECISIONS_IDEMPOTENCY_KEY_H_
#define WISTERIAYOKE_DECISIONS_IDEMPOTENCY_KEY_H_

#include <optional>
#include <string>
#include <utility>

#include "base/last_reason.h"
#include "decisions/wall_time.h"

namespace wisteriayoke {

/// A caller's identifier of one piece of work, the same each time it is sent.
///
/// A key that is a UUID of version 7 contains the time at which it was made, so
/// that its ledger record can be collected past the resend horizon. The record
/// of any other key is never collected.
class IdempotencyKey {
 public:
  /// Makes a key of `text`, or fails with kIdempotencyKeyInvalid if it is
  /// empty, too long, or contains spaces or unprintable characters.
  static std::optional<IdempotencyKey> Create(std::string text,
                                              LastReason& reason);

  const std::string& text() const { return text_; }

  /// Returns the time at which the key was made, if the key contains it.
  const std::optional<WallTime>& made_at() const { return made_at_; }

 private:
  IdempotencyKey(std::string text, std::optional<WallTime> made_at)
      : text_(std::move(text)), made_at_(made_at) {}

  std::string text_;
  std::optional<WallTime> made_at_;
};

/// Returns a UUID of version 7 that contains `now` and 74 of the bits of
/// `random_high` and `random_low`.
std::string FormatTimedKey(WallTime now, std::uint64_t random_high,
                           std::uint64_t random_low);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_IDEMPOTENCY_KEY_H_
