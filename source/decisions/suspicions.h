#ifndef WISTERIAYOKE_DECISIONS_SUSPICIONS_H_
#define WISTERIAYOKE_DECISIONS_SUSPICIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// How long a member is suspected before it is declared dead.
struct SuspicionTimes {
  Duration least;  ///< With `confirmations` other members that suspect it.
  Duration most;   ///< Without any.
  std::size_t confirmations = 0;

  /// Returns the time for a member that `accusers` others suspect as well.
  Duration TimeFor(std::size_t accusers) const;
};

/// The members that this daemon or others suspect, each at one incarnation.
///
/// A daemon lists a member as suspect only if that member left the daemon's own
/// probe unanswered. So each sender of such a record is independent evidence.
class Suspicions {
 public:
  /// How long the suspicions of others are kept without one of this daemon.
  static constexpr Duration kRetention = std::chrono::seconds(3);
  /// Maximum number of accusers kept for a member.
  static constexpr std::size_t kMaxAccusers = 4;

  /// Records that `accuser` suspects the member.
  void AddAccuser(const DaemonName& member, std::uint64_t incarnation,
                  const DaemonName& accuser, TimePoint now);
  /// Records that `accuser` holds the member for alive.
  void RemoveAccuser(const DaemonName& member, const DaemonName& accuser);
  /// Records that the member didn't answer this daemon.
  void AddOwn(const DaemonName& member, std::uint64_t incarnation,
              TimePoint now);
  void Clear(const DaemonName& member) { entries_.erase(member); }

  std::size_t CountAccusers(const DaemonName& member) const;
  /// Returns the first accuser of the member, or nullopt.
  std::optional<DaemonName> FirstAccuser(const DaemonName& member) const;
  /// Returns at most `count` members that this daemon suspects, in turn.
  std::vector<DaemonName> TakeOwn(std::size_t count);
  /// Returns the members that this daemon has suspected for long enough.
  std::vector<DaemonName> ListDue(const SuspicionTimes& times,
                                  TimePoint now) const;
  /// Leaves `pause`, in which this daemon didn't run and which ended at `now`,
  /// out of all times.
  void Postpone(Duration pause, TimePoint now);
  /// Drops suspicions of others that are older than `kRetention`.
  void Expire(TimePoint now);

 private:
  struct Entry {
    std::uint64_t incarnation = 0;
    std::set<DaemonName> accusers;
    TimePoint first_heard;
    std::optional<TimePoint> own_since;
  };

  /// Returns the entry, emptied if it is of an earlier incarnation.
  Entry& EntryOf(const DaemonName& member, std::uint64_t incarnation,
                 TimePoint now);

  std::map<DaemonName, Entry> entries_;
  DaemonName last_taken_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_SUSPICIONS_H_
