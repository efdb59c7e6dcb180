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
                         unsigned most) {
  std::stable_sort(
      items.begin(), items.end(),
      [](const Item& a, const Item& b) { return a.sent < b.sent; });
  std::size_t count = 0;
  while (count < std::min(limit, items.size()) && items[count].sent < most) {
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

RumourNovelty GossipQueue::AddRumour(const Rumour& rumour, TimePoint now) {
  for (auto& item : rumours_) {
    if (!SameSubject(item.rumour, rumour)) continue;
    if (!IsNews(rumour, Aged(item.rumour, now - item.added))) {
      return RumourNovelty::kKnown;
    }
    item = {rumour, now};
    return std::holds_alternative<LeavingRumour>(rumour)
               ? RumourNovelty::kRenewed
               : RumourNovelty::kNew;
  }
  rumours_.push_back({rumour, now});
  return RumourNovelty::kNew;
}

std::vector<Member> GossipQueue::TakeMembers(std::size_t group_size) {
  const unsigned most = CountTransmissions(group_size);
  const std::size_t count = SortAndCount(members_, kMembersInMessage, most);
  std::vector<Member> taken;
  for (std::size_t i = 0; i < count; ++i) {
    taken.push_back(members_[i].member);
    ++members_[i].sent;
  }
  std::erase_if(members_,
                [most](const MemberItem& item) { return item.sent >= most; });
  return taken;
}

std::vector<Rumour> GossipQueue::TakeRumours(std::size_t group_size,
                                             TimePoint now) {
  const std::size_t count =
      SortAndCount(rumours_, kRumoursInMessage, CountTransmissions(group_size));
  std::vector<Rumour> taken;
  for (std::size_t i = 0; i < count; ++i) {
    taken.push_back(Aged(rumours_[i].rumour, now - rumours_[i].added));
    ++rumours_[i].sent;
  }
  return taken;
}

void GossipQueue::Expire(TimePoint now) {
  std::erase_if(rumours_, [now](const RumourItem& item) {
    return now - item.added >= kRumourMemory;
  });
}

}  // namespace wisteriayoke
