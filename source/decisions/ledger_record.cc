#include "decisions/ledger_record.h"

namespace wisteriayoke {

bool IsExpired(const IdempotencyKey& key, WallTime now,
               const LedgerLimits& limits) {
  return key.made_at() && *key.made_at() + limits.resend_horizon < now;
}

bool IsFromFuture(const IdempotencyKey& key, WallTime now,
                  const LedgerLimits& limits) {
  return key.made_at() && *key.made_at() > now + 2 * limits.clock_error;
}

bool IsCollectable(const std::optional<WallTime>& made_at, WallTime now,
                   const LedgerLimits& limits) {
  if (!made_at) return false;
  return *made_at + limits.resend_horizon + 2 * limits.clock_error < now;
}

}  // namespace wisteriayoke
