#include "decisions/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {

Membership::Membership(Member self, std::vector<Endpoint> seeds,
                       std::uint64_t seed)
    : self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(seed),
      members_(seed + 1) {}

std::vector<PeerAction> Membership::Handle(const PeerEvent& event,
                                           TimePoint now) {
  now_ = now;
  std::visit(
      Overloaded{
          [this](const PeerTick&) { HandleTick(); },
          [this](const PeerMessageArrived& arrived) { HandleMessage(arrived); },
          [this](const SeedsChanged& changed) { seeds_ = changed.seeds; },
          [this](const GossipUpdatePosted& posted) {
            const auto novelty = gossip_.AddUpdate(posted.update, now_);
            if (novelty == UpdateNovelty::kNew) GossipNow({});
          },
          [this](const InFlightCountsPosted& counted) {
            HandleCounts(counted);
          },
          [this](const TableHeadChanged& changed) { head_ = changed.head; },
          [this](const AnnounceRequested&) { GossipNow({}); },
          [this](const LeaveRequested&) { HandleLeave(); },
      },
      event);
  return std::exchange(actions_, {});
}

std::optional<Endpoint> Membership::SampleMember() {
  const std::vector<Member> sample = members_.Sample(1);
  if (sample.empty()) return std::nullopt;
  return sample.front().endpoint;
}

std::size_t Membership::RankByName() const {
  const std::vector<Member> present = members_.ListPresent();
  return static_cast<std::size_t>(
      std::count_if(present.begin(), present.end(),
                    [this](const Member& m) { return m.name < self_.name; }));
}

std::size_t Membership::RankByDigest() const {
  const auto key = [](const Member& member) {
    return std::pair(DigestOf(member.name), member.name);
  };
  const std::vector<Member> present = members_.ListPresent();
  return static_cast<std::size_t>(
      std::count_if(present.begin(), present.end(),
                    [&](const Member& m) { return key(m) < key(self_); }));
}

void Membership::HandleTick() {
  ExpireSuspects();
  std::erase_if(relayed_pings_, [this](const auto& item) {
    return now_ - item.second.started >= kPeriod;
  });
  if (probe_ && now_ - probe_->started < kPeriod) return ContinueProbe();
  if (probe_ && !probe_->answered) Suspect(probe_->target);
  gossip_.Expire(now_);
  members_.Expire(now_);
  StartProbe();
}

void Membership::ContinueProbe() {
  if (probe_->answered || probe_->indirect) return;
  if (now_ - probe_->started < kProbeTimeout) return;
  probe_->indirect = true;
  const Endpoint& target = probe_->target.endpoint;
  for (const auto& helper : members_.Sample(kIndirectProbes, target)) {
    Send(helper.endpoint, PingRequest{probe_->sequence, target});
  }
}

void Membership::StartProbe() {
  const Member* target = members_.NextToProbe(now_ - kPeriod);
  // A period without a target gets an empty probe marked as answered.
  probe_ = Probe{.target = target == nullptr ? Member{} : *target,
                 .sequence = next_sequence_++,
                 .started = now_,
                 .answered = target == nullptr};
  if (target != nullptr) {
    Send(probe_->target.endpoint, Ping{probe_->sequence});
  }
  if (target == nullptr || ++periods_ % kContactPeriods == 0) ContactAbsent();
}

void Membership::ContactAbsent() {
  std::vector<Endpoint> contacts;
  for (const auto& seed : seeds_) {
    const Member* member = members_.FindAt(seed);
    const bool present = member != nullptr && member->present();
    if (!present && seed != self_.endpoint) contacts.push_back(seed);
  }
  if (const Member* dead = members_.SampleDead()) {
    contacts.push_back(dead->endpoint);
  }
  if (contacts.empty()) return;
  const bool alone = members_.CountPresent() == 0;
  const Endpoint to = contacts[random_() % contacts.size()];
  if (!alone) return Send(to, Ping{next_sequence_++, false});
  joined_ = now_;
  for (const auto& contact : contacts) {
    Send(contact, Ping{next_sequence_++, true});
  }
}

Duration Membership::SuspicionTime() const {
  return kPeriod * std::bit_width(group_size() - 1);
}

void Membership::Suspect(const Member& member) {
  const Member* known = members_.Find(member.name);
  if (known == nullptr || known->status != MemberStatus::kAlive) return;
  Member record = *known;
  record.status = MemberStatus::kSuspect;
  ApplyRecord(record);
  GossipNow({});
}

void Membership::ExpireSuspects() {
  std::vector<Member> dead;
  for (const auto& [name, deadline] : suspects_) {
    if (now_ < deadline) continue;
    if (const Member* known = members_.Find(name)) dead.push_back(*known);
  }
  for (auto& member : dead) {
    member.status = MemberStatus::kDead;
    ApplyRecord(member);
  }
  if (!dead.empty()) GossipNow({});
}

void Membership::ApplyRecord(const Member& record, bool from_list) {
  if (record.name == self_.name) return Refute(record);
  if (!members_.Merge(record, now_)) return;
  suspects_.erase(record.name);
  if (record.status == MemberStatus::kSuspect) {
    suspects_[record.name] = now_ + SuspicionTime();
  }
  if (!from_list) gossip_.AddMember(record);
  actions_.emplace_back(MemberChanged{record});
}

void Membership::Refute(const Member& record) {
  if (self_.status == MemberStatus::kLeft) return;
  if (record.incarnation < self_.incarnation) return;
  if (record.incarnation == self_.incarnation &&
      record.status == MemberStatus::kAlive) {
    return;
  }
  self_.incarnation = record.incarnation + 1;
  gossip_.AddMember(self_);
  GossipNow({});
}

void Membership::HandleMessage(const PeerMessageArrived& event) {
  const PeerMessage& message = event.message;
  if (message.sender.name == self_.name) return;
  ApplyRecord(message.sender);
  members_.RecordContact(message.sender.name, now_);
  // The other members already know the list that a joining daemon receives.
  const bool joining = now_ - joined_ < kJoinTime;
  for (const auto& member : message.members) {
    ApplyRecord(member, joining && member.status == MemberStatus::kAlive);
  }
  if (message.head.number > 0) {
    actions_.emplace_back(TableHeadReceived{message.head, event.from});
  }
  for (const auto& update : message.updates) HandleUpdate(update, event.from);
  std::visit(Overloaded{
                 [&](const Ping& ping) { HandlePing(ping, event.from); },
                 [&](const PingRequest& request) {
                   HandlePingRequest(request, event.from);
                 },
                 [&](const Ack& ack) { HandleAck(ack); },
                 [](const GossipNotice&) {},
                 [&](const InFlightCountsNotice& notice) {
                   actions_.emplace_back(InFlightCountsReceived{
                       message.sender.name, notice.counts});
                 },
             },
             message.content);
}

void Membership::HandlePing(const Ping& ping, const Endpoint& from) {
  Send(from, Ack{ping.sequence});
  if (ping.joining) SendMemberList(from);
}

void Membership::HandlePingRequest(const PingRequest& request,
                                   const Endpoint& from) {
  const std::uint32_t sequence = next_sequence_++;
  relayed_pings_[sequence] = {from, request.sequence, now_};
  Send(request.target, Ping{sequence});
}

void Membership::HandleAck(const Ack& ack) {
  if (probe_ && probe_->sequence == ack.sequence) probe_->answered = true;
  const auto relay = relayed_pings_.find(ack.sequence);
  if (relay == relayed_pings_.end()) return;
  Send(relay->second.requester, Ack{relay->second.sequence});
  relayed_pings_.erase(relay);
}

void Membership::HandleUpdate(const GossipUpdate& update,
                              const Endpoint& source) {
  const UpdateNovelty novelty = gossip_.AddUpdate(update, now_);
  if (novelty == UpdateNovelty::kKnown) return;
  actions_.emplace_back(GossipUpdateReceived{update, source});
  if (novelty == UpdateNovelty::kNew) GossipNow(source);
}

void Membership::HandleCounts(const InFlightCountsPosted& event) {
  InFlightCountsNotice notice{event.counts};
  std::sort(notice.counts.begin(), notice.counts.end(),
            [](const InFlightCount& a, const InFlightCount& b) {
              return a.in_flight > b.in_flight;
            });
  if (notice.counts.size() > kMaxCounts) notice.counts.resize(kMaxCounts);
  const PeerMessage message{.sender = self_, .content = std::move(notice)};
  for (const auto& peer : members_.TakeRoundRobin(kCountReceivers)) {
    actions_.emplace_back(SendPeerMessage{peer.endpoint, message});
  }
}

void Membership::HandleLeave() {
  self_.status = MemberStatus::kLeft;
  gossip_.AddMember(self_);
  GossipNow({});
}

void Membership::GossipNow(const Endpoint& excluded) {
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
