#ifndef WISTERIAYOKE_DECISIONS_SETTLED_GROUP_H_
#define WISTERIAYOKE_DECISIONS_SETTLED_GROUP_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "base/time_types.h"
#include "decisions/member.h"

namespace wisteriayoke {

/// The view of the group for all that depends on its size and order. While more
/// members die and return than isolated failures explain, deaths take effect
/// only once the group is calm again, or after `kLongestHold`. Members that
/// join or leave take effect at once.
class SettledGroup {
 public:
  /// Time over which deaths and returns are counted.
  static constexpr Duration kWindow = std::chrono::seconds(1);
  /// Deaths and returns in that time that a group of any size may have without
  /// being held for churning.
  static constexpr std::size_t kIsolatedChanges = 3;
  /// Members for each further one of them.
  static constexpr std::size_t kMembersPerChange = 32;
  /// Time after which a member that stays dead is removed in any case.
  static constexpr Duration kLongestHold = std::chrono::seconds(5);
  /// How long a death is kept, to tell a return from the first join.
  static constexpr Duration kDeathRetention = std::chrono::minutes(1);

  explicit SettledGroup(DaemonName self) : self_(std::move(self)) {}

  /// Records the status of another member. Returns whether the view changed.
  bool Record(const Member& member, TimePoint now);
  /// Returns whether the view changed as time passed.
  bool Tick(TimePoint now);

  bool Contains(const DaemonName& name) const { return view_.contains(name); }
  /// Returns the number of members, this daemon included.
  std::size_t size() const { return view_.size() + 1; }
  /// Returns the number of members with names before this daemon's.
  std::size_t RankByName() const;
  /// Returns the number of members ordered before this daemon by the digests
  /// of their names, which spread over the data centres.
  std::size_t RankByDigest() const;

 private:
  bool IsChurning(TimePoint now);

  DaemonName self_;
  std::set<DaemonName> view_;  ///< Without this daemon.
  std::map<DaemonName, TimePoint> deaths_;
  std::deque<TimePoint> changes_;  ///< Deaths and returns within `kWindow`.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_SETTLED_GROUP_H_
