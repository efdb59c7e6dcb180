#ifndef WISTERIAYOKE_DECISIONS_STORE_FOLLOW_POLICY_H_
#define WISTERIAYOKE_DECISIONS_STORE_FOLLOW_POLICY_H_

#include <cstddef>
#include <optional>

#include "base/time_types.h"

namespace wisteriayoke {

/// What decides whether a daemon calls the store.
struct StoreFollowInputs {
  /// Number of present daemons that are ordered before this one.
  std::size_t rank = 0;
  std::size_t group_size = 1;  ///< Present daemons, including this one.
  /// Age of the last proof that this daemon's tables are up to date.
  std::optional<Duration> proof_age;
};

/// Decides which daemons of a group follow the platform's store. The others
/// learn of changes, and of the age of their tables, from the followers.
///
/// The followers are the first of the group by rank. They need no agreement:
/// too many only cost calls, and a daemon without a recent proof follows the
/// store itself, one that has just started at once. The time that it waits for
/// another proof grows with its rank, so that the loss of all followers doesn't
/// make the whole group call at once.
class StoreFollowPolicy {
 public:
  /// Followers of a group, and of one with at most `kSmallGroup` daemons.
  static constexpr std::size_t kFollowers = 3;
  static constexpr std::size_t kFollowersOfSmallGroup = 2;
  static constexpr std::size_t kSmallGroup = 8;

  /// `revocation`: longest age of a proof with which keys are accepted.
  explicit StoreFollowPolicy(Duration revocation) : revocation_(revocation) {}

  /// Returns whether the daemon must call the store now.
  bool MustFollow(const StoreFollowInputs& inputs) const;

  /// Returns how long a call to the store may wait for a change: `usual`, or
  /// not at all if the last proof is older than a quarter of that, since an
  /// answer with changes proves nothing newer than its call. Of two calls in a
  /// row at least one waits (`last_waited`), whether they prove anything or
  /// not.
  static Duration ChooseWait(Duration usual, std::optional<Duration> proof_age,
                             bool last_waited);

  /// Returns the age of its proof at which a daemon of rank `rank` in a group
  /// of `group_size` follows the store itself.
  Duration FallbackAge(std::size_t rank, std::size_t group_size) const;

 private:
  Duration revocation_;
};

/// Returns how many daemons of a group follow the store.
std::size_t CountFollowers(std::size_t group_size);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_STORE_FOLLOW_POLICY_H_
