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

/// Rises with each change of a lease's holder.
using FencingNumber = std::uint64_t;

/// Counts the store operations of one lease keeper.
using LeaseOperation = std::uint32_t;

/// The lease's record in the table service. It carries no time: each daemon
/// measures by its own monotonic clock since it saw the record change.
struct LeaseRecord {
  DaemonName holder;
  std::string token;  ///< Unique for the keeper that wrote it.
  FencingNumber fencing = 0;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// Bounds of a lease, the same on all daemons.
struct LeaseLimits {
  /// How long a holder may act after it sent the write that gave it the lease.
  Duration length = std::chrono::seconds(10);
  /// How long before that the holder stops.
  Duration margin = std::chrono::seconds(1);
  /// Longest time from the sending of an order until it has taken effect.
  Duration max_order_delay = std::chrono::seconds(3);
  /// Most that a clock runs too fast or too slow, in thousandths.
  std::uint32_t drift_per_mille = 10;
};

/// Returns how long a record must stay unchanged before another daemon may
/// take the lease over.
Duration TakeoverWait(const LeaseLimits& limits);

/// Time to look at the lease or to renew it.
struct LeaseTick {
  std::size_t rank = 0;  ///< Present daemons that come before this one.
};

/// The store answered a read; no record if the version is 0.
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

/// The store refused the write, since the record has another version.
struct LeaseConflicted {
  LeaseOperation operation = 0;
  std::optional<LeaseRecord> record;
  std::uint64_t version = 0;
};

/// No answer came; a write may have taken effect or may do so later.
struct LeaseCallFailed {
  LeaseOperation operation = 0;
};

using LeaseEvent = std::variant<LeaseTick, LeaseRead, LeaseWritten,
                                LeaseConflicted, LeaseCallFailed>;

/// Read the record.
struct ReadLease {
  LeaseOperation operation = 0;
};

/// Write the record if its version is `expected` (0: it must be absent).
struct WriteLease {
  LeaseOperation operation = 0;
  LeaseRecord record;
  std::uint64_t expected = 0;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

/// Takes, renews and gives up the lease of one pool for one daemon.
///
/// A holder counts from before it sent the write, a successor from after it
/// saw the write's version, so that the holder has stopped before a successor
/// starts if no clock drifts by more than the stated bound.
class LeaseManager {
 public:
  /// Most ticks between two looks at the lease of another. The first daemon
  /// looks in each tick, the next in every second one, and so on, so that the
  /// reads of a group hardly grow with it.
  static constexpr std::size_t kMostTicks = 8;

  LeaseManager(DaemonName holder, std::string token, LeaseLimits limits)
      : holder_(std::move(holder)), token_(std::move(token)), limits_(limits) {}

  /// Handles one event and returns what to do, in order. Answers to earlier
  /// operations have no effect.
  std::vector<LeaseAction> Handle(const LeaseEvent& event, TimePoint now);

  /// Returns the fencing number under which an order may be sent at `now`, or
  /// nothing. To be asked right before each order.
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
  bool busy_ = false;  ///< Whether an operation is under way.
  TimePoint sent_at_;  ///< When the write under way was sent.
  FencingNumber writing_ = 0;
  std::optional<LeaseRecord> record_;
  std::uint64_t version_ = 0;
  TimePoint observed_at_;  ///< When `version_` was first seen.
  std::size_t ticks_ = 0;  ///< In which another held the lease.
  bool owned_ = false;     ///< Whether the last record seen is this keeper's.
  std::optional<TimePoint> valid_until_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LEASE_MANAGER_H_
