#ifndef WISTERIAYOKE_DECISIONS_GOSSIP_QUEUE_H_
#define WISTERIAYOKE_DECISIONS_GOSSIP_QUEUE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time_types.h"
#include "decisions/gossip_update.h"
#include "decisions/member.h"

namespace wisteriayoke {

/// What a rumour that comes in means to the queue.
enum class UpdateNovelty {
  kKnown,    ///< Nothing new.
  kRenewed,  ///< A known sign was seen again.
  kNew,      ///< All should hear of it at once.
};

/// Holds the news that a daemon passes on with its messages, and forgets each
/// after enough transmissions for the size of the group.
class GossipQueue {
 public:
  /// Most records and rumours in one message.
  static constexpr std::size_t kMembersInMessage = 6;
  static constexpr std::size_t kUpdatesInMessage = 4;
  /// How long a rumour is remembered, so that repeats are known as such.
  static constexpr Duration kUpdateRetention = std::chrono::seconds(30);

  /// Adds the news of a member; it replaces older news of that member.
  void AddMember(const Member& member);

  /// Adds a rumour unless it is known, and tells which it is.
  UpdateNovelty AddUpdate(const GossipUpdate& update, TimePoint now);

  /// Returns the records that were sent least often, and counts them as sent.
  std::vector<Member> TakeMembers(std::size_t group_size);

  /// Returns the rumours that were sent least often, aged to `now`.
  std::vector<GossipUpdate> TakeUpdates(std::size_t group_size, TimePoint now);

  /// Forgets rumours that are older than `kUpdateRetention`.
  void Expire(TimePoint now);

 private:
  struct MemberItem {
    Member member;
    unsigned sent = 0;
  };
  struct RumourItem {
    GossipUpdate update;
    TimePoint added;
    unsigned sent = 0;
  };

  std::vector<MemberItem> members_;
  std::vector<RumourItem> rumours_;
};

/// Returns how often each piece of news is sent in a group of this size.
unsigned CountTransmissions(std::size_t group_size);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_GOSSIP_QUEUE_H_
