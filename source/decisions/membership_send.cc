// The messages that `Membership` sends.

#include <algorithm>
#include <utility>

#include "decisions/membership.h"

namespace wisteriayoke {

void Membership::HandleRepeats(const RepeatsPosted& event) {
  if (!event.to) {
    repeats_ = event.updates;
    if (repeats_.size() > kMaxRepeats) repeats_.resize(kMaxRepeats);
    return;
  }
  for (std::size_t i = 0; i < event.updates.size(); i += kRepeatsInList) {
    PeerMessage message = MakeMessage(GossipNotice{});
    const std::size_t end = std::min(i + kRepeatsInList, event.updates.size());
    message.updates.assign(
        event.updates.begin() + static_cast<std::ptrdiff_t>(i),
        event.updates.begin() + static_cast<std::ptrdiff_t>(end));
    actions_.emplace_back(SendPeerMessage{*event.to, std::move(message)});
  }
}

/// Sends the counts to some members. Repeats take their place at a few of them,
/// so that they cost no more.
void Membership::HandleCounts(const InFlightCountsPosted& event) {
  InFlightCountsNotice notice{event.counts};
  std::sort(notice.counts.begin(), notice.counts.end(),
            [](const InFlightCount& a, const InFlightCount& b) {
              return a.in_flight > b.in_flight;
            });
  if (notice.counts.size() > kMaxCounts) notice.counts.resize(kMaxCounts);
  const PeerMessage counts{.sender = self_, .content = std::move(notice)};
  PeerMessage repeats = MakeMessage(GossipNotice{});
  repeats.updates = std::exchange(repeats_, {});
  auto receivers = members_.TakeRoundRobin(kCountReceivers);
  std::shuffle(receivers.begin(), receivers.end(), random_);
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    const bool repeat = i < kRepeatReceivers && !repeats.updates.empty();
    actions_.emplace_back(
        SendPeerMessage{receivers[i].endpoint, repeat ? repeats : counts});
  }
}

void Membership::SpreadUpdate(const Endpoint& excluded) {
  update_due_ = !updates_.Take(now_);
  if (!update_due_) SendNotices(excluded);
}

void Membership::AnnounceMembers(const Endpoint& excluded) {
  announcement_due_ = !announcements_.Take(now_);
  if (!announcement_due_) SendNotices(excluded);
}

void Membership::SendNotices(const Endpoint& excluded) {
  for (const auto& peer : members_.Sample(kFanout, excluded)) {
    Send(peer.endpoint, GossipNotice{});
  }
}

void Membership::SendMemberList(const Endpoint& to) {
  const std::vector<Member> all = members_.ListPresent();
  for (std::size_t i = 0; i < all.size(); i += kRecordsInList) {
    PeerMessage message = MakeMessage(GossipNotice{});
    const std::size_t end = std::min(i + kRecordsInList, all.size());
    message.members.assign(all.begin() + static_cast<std::ptrdiff_t>(i),
                           all.begin() + static_cast<std::ptrdiff_t>(end));
    actions_.emplace_back(SendPeerMessage{to, std::move(message)});
  }
}

PeerMessage Membership::MakeMessage(PeerContent content) const {
  return {.sender = self_, .head = head_, .content = std::move(content)};
}

void Membership::Send(const Endpoint& to, PeerContent content) {
  PeerMessage message = MakeMessage(std::move(content));
  message.members = gossip_.TakeMembers(group_size());
  for (const auto& member : members_.Sample(kRandomRecords, to)) {
    message.members.push_back(member);
  }
  // A receiver that isn't known as alive needs its record to refute it.
  const Member* receiver = members_.FindAt(to);
  if (receiver != nullptr && receiver->status != MemberStatus::kAlive) {
    message.members.push_back(*receiver);
  }
  message.updates = gossip_.TakeUpdates(group_size(), now_);
  actions_.emplace_back(SendPeerMessage{to, std::move(message)});
}

}  // namespace wisteriayoke
