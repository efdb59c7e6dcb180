#ifndef WISTERIAYOKE_DECISIONS_MEMORY_BUDGET_H_
#define WISTERIAYOKE_DECISIONS_MEMORY_BUDGET_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/names_table.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Why the budget closes a connection.
enum class MemoryRule {
  kStalled,      ///< Memory is low and the sender makes no progress.
  kOverBudget,   ///< The budget is used up.
  kDescriptors,  ///< Another connection needs the descriptor.
};

inline constexpr auto kMemoryRuleNames = MakeNamesTable<MemoryRule>({
    {MemoryRule::kStalled, "stalled"},
    {MemoryRule::kOverBudget, "over-budget"},
    {MemoryRule::kDescriptors, "descriptors"},
});

/// Decides which holders of memory stop reading and which are closed, so that
/// all together stay within one number of bytes. Does no input or output; each
/// update takes constant time, and `Decide` and `ChooseIdle` take time
/// proportional to the number of holders.
class MemoryBudget {
 public:
  using HolderId = std::uint64_t;

  /// What a holder holds.
  struct Usage {
    std::uint64_t total_bytes = 0;
    /// Bytes of a request that isn't complete, and of those behind it.
    std::uint64_t input_bytes = 0;
  };

  struct Closure {
    HolderId holder = 0;
    MemoryRule rule = MemoryRule::kStalled;
  };

  /// What is to be done to the holders named.
  struct Decision {
    std::vector<Closure> close;
    std::vector<HolderId> resume;
    bool again = false;  ///< Whether to decide again soon.
  };

  /// Input that a holder may have while memory is low; an ordinary request
  /// fits.
  static constexpr std::uint64_t kSmallInputBytes = 16 * 1024;
  /// Bytes that count as progress, so that a trickle doesn't.
  static constexpr std::uint64_t kProgressBytes = 16 * 1024;
  /// Time without progress after which a holder is stalled.
  static constexpr Duration kStallTime = std::chrono::seconds(1);
  /// Least time without progress before a descriptor is taken away.
  static constexpr Duration kIdleTime = std::chrono::milliseconds(250);

  /// Sets the budget in bytes; 0 sets none.
  void set_limit(std::uint64_t bytes) { limit_ = bytes; }
  std::uint64_t limit() const { return limit_; }
  std::uint64_t used() const { return used_; }
  std::size_t holder_count() const { return holders_.size(); }
  /// Returns how many holders were closed by `rule`.
  std::uint64_t CountClosures(MemoryRule rule) const {
    return closures_[static_cast<std::size_t>(rule)];
  }

  /// Adds a holder. One that isn't closable counts, but is left alone.
  HolderId Add(bool closable, TimePoint now);
  void Remove(HolderId id);

  /// Sets what the holder holds.
  void Update(HolderId id, const Usage& usage);

  /// Records bytes that were received from the peer or taken by it.
  void RecordProgress(HolderId id, std::uint64_t bytes, TimePoint now);

  /// Sets whether a whole request of the holder is being served. Such a holder
  /// is never closed. Counts as progress.
  void SetForwarded(HolderId id, bool forwarded, TimePoint now);

  /// Returns whether less than a quarter of the budget is left.
  bool IsLow() const { return limit_ > 0 && used_ > PauseLevel(); }
  bool IsOver() const { return limit_ > 0 && used_ > limit_; }

  /// Returns whether the holder may read more input now.
  bool MayRead(HolderId id) const;

  /// Records that the holder has input to read, but may not.
  void Park(HolderId id);

  /// Returns which holders to close and which may read again, and records that
  /// it is done.
  Decision Decide(TimePoint now);

  /// Returns the holder that has been without progress for longest, at least
  /// `kIdleTime`, and has no request that is being served.
  std::optional<HolderId> ChooseIdle(TimePoint now);

 private:
  struct Holder {
    Usage usage;
    TimePoint progressed_at;
    std::uint64_t unreported_bytes = 0;  ///< Progress below `kProgressBytes`.
    bool closable = false;
    bool forwarded = false;
    bool parked = false;
    bool closing = false;
  };

  std::uint64_t PauseLevel() const { return limit_ / 4 * 3; }
  std::uint64_t ResumeLevel() const { return limit_ / 8 * 5; }
  static bool IsCandidate(const Holder& holder) {
    return holder.closable && !holder.forwarded && !holder.closing;
  }
  std::uint64_t CloseWorst(MemoryRule rule, std::uint64_t aim, TimePoint now,
                           Decision& decision);
  void GrantRead(Decision& decision);

  std::uint64_t limit_ = 0;
  std::uint64_t used_ = 0;
  HolderId last_id_ = 0;
  HolderId granted_ = 0;  ///< The holder that reads on while memory is low.
  std::unordered_map<HolderId, Holder> holders_;
  std::array<std::uint64_t, 3> closures_{};
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MEMORY_BUDGET_H_
