#ifndef WISTERIAYOKE_DECISIONS_LEASE_MANAGER_H_
#define WISTERIAYOKE_DECISIONS_LEASE_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Increases with each change of a lease's holder.
using FencingNumber = std::uint64_t;

/// Sequence number of a store operation of one lease manager.
using LeaseOperation = std::uint32_t;

/// The lease's record in the table service. It holds no time: each daemon
/// measures on its own monotonic clock how long the record was unchanged.
struct LeaseRecord {
  DaemonName holder;
  std::string token;  ///< Unique to the lease manager that wrote it.
  FencingNumber fencing = 0;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// Time limits of a lease, the same on all daemons.
struct LeaseLimits {
  /// How long a lease is valid after its holder sent the write that acquired or
  /// renewed it.
  Duration length = std::chrono::seconds(10);
  /// How long before the end of its lease the holder stops sending orders.
  Duration margin = std::chrono::seconds(1);
  /// Longest time from sending an order until it has taken effect.
  Duration max_order_delay = std::chrono::seconds(3);
  /// Largest deviation of a clock's rate from true time, in thousandths.
  std::uint32_t drift_per_mille = 10;
};

/// Returns how long a record must stay unchanged before another daemon may
/// take the lease over.
Duration TakeoverWait(const LeaseLimits& limits);

/// Time to read the lease, or to renew it if this daemon holds it.
struct LeaseTick {
  std::size_t rank = 0;  ///< Number of present daemons ordered before this one.
};

/// The store answered a read; there is no record if the version is 0.
struct LeaseRead {
  LeaseOperation operation = 0;
  std::optional<LeaseRecord> record;
  std::uint64_t version = 0;
};

/// The store applied the write.
struct LeaseWritten {
  LeaseOperation operation = 0;
  std::uint64_t version = 0;
};

/// The store rejected the write because the record has another version.
struct LeaseConflicted {
  LeaseOperation operation = 0;
  std::optional<LeaseRecord> record;
  std::uint64_t version = 0;
};

/// No answer came; a write may have taken effect or may still do so.
struct LeaseCallFailed {
  LeaseOperation operation = 0;
};

using LeaseEvent = std::variant<LeaseTick, LeaseRead, LeaseWritten,
                                LeaseConflicted, LeaseCallFailed>;

/// Read the record.
struct ReadLease {
  LeaseOperation operation = 0;
};

/// Write the record if its version is `expected` (0: there must be none).
struct WriteLease {
  LeaseOperation operation = 0;
  LeaseRecord record;
  std::uint64_t expected = 0;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

/// Acquires and renews the lease of one pool for one daemon.
///
/// A holder measures its lease from before it sent the write, a successor from
/// after it saw the write's version. The holder has therefore stopped before a
/// successor starts, as long as no clock drifts by more than the stated bound.
///
/// The first daemon by rank reads a lease held by another in each tick, the
/// next in every second one, and so on, and from the eighth on ever more
/// rarely, so that the reads of a group hardly grow with its size.
class LeaseManager {
 public:
  LeaseManager(DaemonName holder, std::string token, LeaseLimits limits)
      : holder_(std::move(holder)), token_(std::move(token)), limits_(limits) {}

  /// Handles one event and returns the actions to take, in order. An answer to
  /// any operation but the latest has no effect.
  std::vector<LeaseAction> Handle(const LeaseEvent& event, TimePoint now);

  /// Returns the fencing number under which an order may be sent at `now`, or
  /// nullopt if none may. Call it right before sending each order.
  std::optional<FencingNumber> FencingNumberAt(TimePoint now) const;

 private:
  using Actions = std::vector<LeaseAction>;

  Actions HandleTick(const LeaseTick& tick, TimePoint now);
  Actions HandleRead(const LeaseRead& event, TimePoint now);
  Actions HandleWritten(const LeaseWritten& event);
  Actions HandleConflict(const LeaseConflicted& event, TimePoint now);
  Actions Write(FencingNumber fencing, TimePoint now);
  void Observe(const std::optional<LeaseRecord>& record, std::uint64_t version,
               TimePoint now);

  DaemonName holder_;
  std::string token_;
  LeaseLimits limits_;
  LeaseOperation operation_ = 0;
  bool pending_ = false;     ///< Whether an operation awaits its answer.
  TimePoint write_sent_at_;  ///< When the latest write was sent.
  FencingNumber pending_fencing_ = 0;
  std::optional<LeaseRecord> record_;
  std::uint64_t version_ = 0;
  TimePoint observed_at_;       ///< When `version_` was first seen.
  std::size_t idle_ticks_ = 0;  ///< Ticks without holding the lease.
  bool owned_ = false;          ///< Whether this manager wrote `record_`.
  std::optional<TimePoint> valid_until_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LEASE_MANAGER_H_
