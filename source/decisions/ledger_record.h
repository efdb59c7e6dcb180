#ifndef WISTERIAYOKE_DECISIONS_LEDGER_RECORD_H_
#define WISTERIAYOKE_DECISIONS_LEDGER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/names_table.h"
#include "decisions/idempotency_key.h"

namespace wisteriayoke {

/// Identifies one attempt of one daemon to own a key; never used again.
using ClaimId = StringId<struct ClaimIdTag>;

/// State of a key's record in the ledger.
enum class LedgerState {
  kDispatched,  ///< The claim's owner may have sent the request.
  kReleased,    ///< The claim's owner never sent it and never will.
  kDone,        ///< The service answered.
};

inline constexpr auto kLedgerStateNames = MakeNamesTable<LedgerState>({
    {LedgerState::kDispatched, "dispatched"},
    {LedgerState::kReleased, "released"},
    {LedgerState::kDone, "done"},
});

/// The ledger's record of one key.
struct LedgerRecord {
  LedgerState state = LedgerState::kDispatched;
  ClaimId claim;
  DaemonName daemon;              ///< Owner of the claim, for operators.
  RequestId request;              ///< Request of the claim, for operators.
  std::string digest;             ///< Digest of the request bound to the key.
  std::uint32_t send_number = 0;  ///< The caller's count; 0 if not numbered.
  WallTime claimed_at{0};
  WallTime finish_limit{0};  ///< Longest time from claim to outcome.
  bool answer_kept = false;  ///< False if there is none or it is too long.
  std::string answer;        ///< Answer to resends; opaque to the ledger.

  friend bool operator==(const LedgerRecord&, const LedgerRecord&) = default;
};

/// Bounds of the ledger, the same on all daemons.
struct LedgerLimits {
  /// Longest time from a request's arrival until its claim is confirmed.
  Duration claim_timeout = std::chrono::seconds(2);
  /// Longest age of a timed key that is still accepted.
  WallTime resend_horizon = std::chrono::hours(24);
  /// Largest difference of an instance's clock from the true time.
  WallTime clock_error = std::chrono::minutes(1);
  /// Longest answer that a record keeps.
  std::size_t answer_bytes = 64 * 1024;
};

/// Returns whether `key` is too old to be accepted.
bool IsExpired(const IdempotencyKey& key, WallTime now,
               const LedgerLimits& limits);

/// Returns whether `key` was made further in the future than clock errors
/// explain.
bool IsFromFuture(const IdempotencyKey& key, WallTime now,
                  const LedgerLimits& limits);

/// Returns whether the record of a key made at `made_at` may be removed,
/// because every daemon refuses the key by now.
bool IsCollectable(const std::optional<WallTime>& made_at, WallTime now,
                   const LedgerLimits& limits);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LEDGER_RECORD_H_
