#ifndef WISTERIAYOKE_DECISIONS_GOSSIP_QUEUE_H_
#define WISTERIAYOKE_DECISIONS_GOSSIP_QUEUE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time_types.h"
#include "decisions/gossip_update.h"
#include "decisions/member.h"

namespace wisteriayoke {

/// How an incoming gossip update relates to the queued ones.
enum class UpdateNovelty {
  kKnown,    ///< Says nothing new.
  kRenewed,  ///< A leaving sign already known was seen again.
  kNew,      ///< To be sent to other members at once.
};

/// Holds the member records and gossip updates that a daemon attaches to its
/// messages. Each is sent at most `CountTransmissions` times.
class GossipQueue {
 public:
  /// Maximum number of records and updates in one message.
  static constexpr std::size_t kMembersInMessage = 6;
  static constexpr std::size_t kUpdatesInMessage = 4;
  /// Number of records of absent members that come before all others.
  static constexpr std::size_t kAbsentFirst = 3;
  /// How long an update is kept, so that repeats of it are recognized.
  static constexpr Duration kUpdateRetention = std::chrono::seconds(30);

  /// Adds the record of a member in place of an earlier one of that member.
  void AddMember(const Member& member);

  /// Adds an update unless it is known, and returns how new it is.
  UpdateNovelty AddUpdate(const GossipUpdate& update, TimePoint now);

  /// Returns the records that were sent least often, some of absent members
  /// before all others, and counts them as sent
  /// once more. Records that were sent often enough are dropped.
  std::vector<Member> TakeMembers(std::size_t group_size);

  /// Returns the updates that were sent least often, with their ages at `now`,
  /// and counts them as sent once more.
  std::vector<GossipUpdate> TakeUpdates(std::size_t group_size, TimePoint now);

  /// Drops updates that were added `kUpdateRetention` ago or earlier.
  void Expire(TimePoint now);

 private:
  struct MemberItem {
    Member member;
    unsigned sent = 0;
  };
  struct UpdateItem {
    GossipUpdate update;
    TimePoint added;
    unsigned sent = 0;
  };

  std::vector<MemberItem> members_;
  std::vector<UpdateItem> updates_;
};

/// Returns how often each record or update is sent in a group of this size.
unsigned CountTransmissions(std::size_t group_size);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_GOSSIP_QUEUE_H_
