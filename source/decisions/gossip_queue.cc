#include "decisions/gossip_queue.h"

#include <algorithm>
#include <bit>

namespace wisteriayoke {
namespace {

constexpr unsigned kTransmissionFactor = 3;

/// Sorts `items` by how often they were sent and returns how many of them, at
/// most `limit`, were sent fewer than `most` times.
template <typename Item>
std::size_t SortAndCount(std::vector<Item>& items, std::size_t limit,
                         unsigned max_sent) {
  std::stable_sort(
      items.begin(), items.end(),
      [](const Item& a, const Item& b) { return a.sent < b.sent; });
  std::size_t count = 0;
  while (count < std::min(limit, items.size()) &&
         items[count].sent < max_sent) {
    ++count;
  }
  return count;
}

}  // namespace

unsigned CountTransmissions(std::size_t group_size) {
  return kTransmissionFactor *
         static_cast<unsigned>(std::bit_width(group_size));
}

void GossipQueue::AddMember(const Member& member) {
  std::erase_if(members_, [&member](const MemberItem& item) {
    return item.member.name == member.name;
  });
  members_.push_back({member});
}

UpdateNovelty GossipQueue::AddUpdate(const GossipUpdate& update,
                                     TimePoint now) {
  for (auto& item : updates_) {
    if (!SameSubject(item.update, update)) continue;
    if (!IsNewer(update, Aged(item.update, now - item.added))) {
      return UpdateNovelty::kKnown;
    }
    item = {update, now};
    return std::holds_alternative<LeavingUpdate>(update)
               ? UpdateNovelty::kRenewed
               : UpdateNovelty::kNew;
  }
  updates_.push_back({update, now});
  return UpdateNovelty::kNew;
}

std::vector<Member> GossipQueue::TakeMembers(std::size_t group_size) {
  const unsigned max_sent = CountTransmissions(group_size);
  SortAndCount(members_, members_.size(), max_sent);
  std::vector<Member> taken;
  const auto take = [&taken](MemberItem& item) {
    taken.push_back(item.member);
    ++item.sent;
  };
  // Many refutations at a time must not hold up deaths, nor the reverse.
  for (auto& item : members_) {
    if (taken.size() == kAbsentFirst) break;
    if (!item.member.present()) take(item);
  }
  const std::size_t absent = taken.size();
  for (auto& item : members_) {
    if (taken.size() == kMembersInMessage) break;
    const auto end = taken.begin() + static_cast<std::ptrdiff_t>(absent);
    if (std::find(taken.begin(), end, item.member) == end) take(item);
  }
  std::erase_if(members_, [max_sent](const MemberItem& item) {
    return item.sent >= max_sent;
  });
  return taken;
}

std::vector<GossipUpdate> GossipQueue::TakeUpdates(std::size_t group_size,
                                                   TimePoint now) {
  const std::size_t count =
      SortAndCount(updates_, kUpdatesInMessage, CountTransmissions(group_size));
  std::vector<GossipUpdate> taken;
  for (std::size_t i = 0; i < count; ++i) {
    taken.push_back(Aged(updates_[i].update, now - updates_[i].added));
    ++updates_[i].sent;
  }
  return taken;
}

void GossipQueue::Expire(TimePoint now) {
  std::erase_if(updates_, [now](const UpdateItem& item) {
    return now - item.added >= kUpdateRetention;
  });
}

}  // namespace wisteriayoke
