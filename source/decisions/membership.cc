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
  receive_delay_.RecordEvent(now);
  std::visit(
      Overloaded{
          [this](const PeerTick&) { HandleTick(); },
          [this](const PeerMessageArrived& arrived) { HandleMessage(arrived); },
          [this](const SeedsChanged& changed) { seeds_ = changed.seeds; },
          [this](const GossipUpdatePosted& posted) {
            const auto novelty = gossip_.AddUpdate(posted.update, now_);
            if (novelty == UpdateNovelty::kNew) SpreadUpdate({});
          },
          [this](const RepeatsPosted& posted) { HandleRepeats(posted); },
          [this](const InFlightCountsPosted& counted) {
            HandleCounts(counted);
          },
          [this](const TableHeadChanged& changed) { head_ = changed.head; },
          [this](const AnnounceRequested&) { SpreadUpdate({}); },
          [this](const LeaveRequested&) { HandleLeave(); },
      },
      event);
  return std::exchange(actions_, {});
}

std::optional<Endpoint> Membership::SampleMember() {
  const std::vector<Member> sample = members_.Sample(1);
  return sample.empty() ? std::nullopt : std::optional(sample.front().endpoint);
}

std::size_t Membership::RankByName() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      members_.ListPresent(),
      [this](const Member& m) { return m.name < self_.name; }));
}

std::size_t Membership::RankByDigest() const {
  const auto key = [](const Member& member) {
    return std::pair(DigestOf(member.name), member.name);
  };
  return static_cast<std::size_t>(std::ranges::count_if(
      members_.ListPresent(),
      [&](const Member& m) { return key(m) < key(self_); }));
}

void Membership::HandleTick() {
  Postpone(health_.RecordTick(now_));
  if (wanted_incarnation_ > self_.incarnation) AdoptIncarnation();
  if (update_due_) SpreadUpdate({});
  if (announcement_due_) AnnounceMembers({});
  ContinueProbes();
  ExpireSuspects();
  if (now_ - period_started_ < kPeriod) return;
  period_started_ = now_;
  std::erase_if(relayed_pings_, [this](const auto& item) {
    return now_ - item.second.started >= kProbeRetention;
  });
  gossip_.Expire(now_);
  members_.Expire(now_);
  suspicions_.Expire(now_);
  StartProbe();
  ProbeSuspects();
}

void Membership::Postpone(Duration pause) {
  for (auto& [sequence, probe] : probes_) {
    probe.started = std::min(now_, probe.started + pause);
  }
  suspicions_.Postpone(pause, now_);
}

void Membership::ContinueProbes() {
  std::erase_if(probes_, [this](const auto& item) {
    return now_ - item.second.started >= kProbeRetention;
  });
  for (auto& [sequence, probe] : probes_) {
    if (probe.failed) continue;
    const Duration age = now_ - probe.started;
    if (age >= ProbeTime(probe)) {
      FailProbe(probe);
    } else if (!probe.check && !probe.indirect && age >= ProbeTimeout(probe)) {
      probe.indirect = true;
      RequestIndirect(sequence, probe);
    }
  }
}

Duration Membership::ProbeTimeout(const Probe& probe) const {
  return std::min<Duration>(
      delays_.TimeoutOf(probe.target.name, health_.score() > 0) *
          (1 + health_.score()),
      ProbeDelays::kMost);
}

Duration Membership::ProbeTime(const Probe& probe) const {
  // Leaves the helpers more time than the direct probe had.
  return std::max<Duration>(probe.check ? kCheckTime : kPeriod,
                            ProbeTimeout(probe) * 5 / 2);
}

void Membership::RequestIndirect(std::uint32_t sequence, const Probe& probe) {
  // A daemon in poor health would burden the others with most of its probes.
  const std::size_t helpers = health_.score() == 0 ? kIndirectProbes : 1;
  const Endpoint& target = probe.target.endpoint;
  for (const auto& helper : members_.Sample(helpers, target)) {
    Send(helper.endpoint, PingRequest{sequence, target});
  }
}

void Membership::FailProbe(Probe& probe) {
  probe.failed = true;
  const Member* known = members_.Find(probe.target.name);
  if (known == nullptr || known->status != MemberStatus::kAlive) return;
  health_.RecordProbe(known->name, false);
  // A message that came meanwhile is worth as much as the answer.
  if (members_.HasContactSince(known->name, probe.started)) return;
  Suspect(*known);
}

void Membership::StartProbe() {
  const Member* target = members_.FindNext(self_.name);
  if (target == nullptr || IsProbed(target->name) ||
      members_.HasContactSince(target->name, now_ - kSuccessorSilence)) {
    target = members_.NextToProbe(now_ - kPeriod);
  }
  if (target != nullptr && !IsProbed(target->name)) SendProbe(*target, false);
  if (target == nullptr || ++periods_ % kContactPeriods == 0) ContactAbsent();
}

void Membership::ProbeSuspects() {
  for (const auto& name : suspicions_.TakeOwn(kSuspectsProbed)) {
    const Member* suspect = members_.Find(name);
    if (suspect != nullptr) Send(suspect->endpoint, Ping{next_sequence_++});
  }
}

void Membership::SendProbe(const Member& target, bool check) {
  const std::uint32_t sequence = next_sequence_++;
  probes_[sequence] = {.target = target, .started = now_, .check = check};
  Send(target.endpoint, Ping{sequence});
}

bool Membership::IsProbed(const DaemonName& name) const {
  return std::any_of(probes_.begin(), probes_.end(), [&](const auto& item) {
    return !item.second.failed && item.second.target.name == name;
  });
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

SuspicionTimes Membership::ChooseSuspicionTimes() const {
  const std::size_t group = group_size();
  const Duration least = kPeriod * std::bit_width(group - 1);
  // Witnesses count the less, the more members this daemon finds silent.
  const Duration range = kLongestSuspicion - least;
  return {.least = least + range * health_.score() / LocalHealth::kMaxScore,
          .most = kLongestSuspicion,
          .confirmations =
              std::min(kConfirmations, std::max<std::size_t>(group, 2) - 2)};
}

void Membership::Suspect(const Member& member) {
  Member record = member;
  record.status = MemberStatus::kSuspect;
  suspicions_.AddOwn(record.name, record.incarnation, now_);
  if (!StoreRecord(record)) return;
  if (const auto accuser = suspicions_.FirstAccuser(record.name)) {
    const Member* asking = members_.Find(*accuser);
    if (asking != nullptr) Send(asking->endpoint, GossipNotice{});
  }
  AnnounceMembers(record.endpoint);
}

void Membership::ExpireSuspects() {
  bool announce = false;
  for (const auto& name : suspicions_.ListDue(ChooseSuspicionTimes(), now_)) {
    const Member* known = members_.Find(name);
    suspicions_.Clear(name);
    if (known == nullptr) continue;
    Member dead = *known;
    dead.status = MemberStatus::kDead;
    announce |= StoreRecord(dead);
  }
  if (announce) AnnounceMembers({});
}

void Membership::ApplyRecord(const Member& record, const DaemonName& sender,
                             bool from_list) {
  if (record.name == self_.name) return Refute(record);
  const Member* known = members_.Find(record.name);
  const bool same =
      known != nullptr && known->incarnation == record.incarnation;
  switch (record.status) {
    case MemberStatus::kAlive:
      if (same) suspicions_.RemoveAccuser(record.name, sender);
      StoreRecord(record, from_list);
      return;
    case MemberStatus::kSuspect:
      return HandleAccusation(record, sender);
    case MemberStatus::kDead:
      if (same && members_.HasContactSince(record.name, now_ - kFreshContact)) {
        return;
      }
      if (StoreRecord(record) && known != nullptr) AnnounceMembers({});
      return;
    case MemberStatus::kLeft:
      StoreRecord(record);
      return;
  }
}

bool Membership::StoreRecord(const Member& record, bool from_list) {
  const Member* known = members_.Find(record.name);
  const std::uint64_t incarnation = known == nullptr ? 0 : known->incarnation;
  if (!members_.Merge(record, now_)) return false;
  if (record.incarnation > incarnation || !record.present()) {
    suspicions_.Clear(record.name);
  }
  if (!record.present()) delays_.Drop(record.name);
  if (!from_list) gossip_.AddMember(record);
  actions_.emplace_back(MemberChanged{record});
  return true;
}

void Membership::RecordLife(const Member& sender) {
  StoreRecord(sender);
  const Member* known = members_.Find(sender.name);
  if (known == nullptr || known->incarnation != sender.incarnation) return;
  if (!sender.present()) return;
  members_.RecordContact(sender.name, now_);
  Reinstate(sender.name);
}

void Membership::Reinstate(const DaemonName& name) {
  suspicions_.Clear(name);
  if (!members_.Reinstate(name, now_)) return;
  const Member& member = *members_.Find(name);
  gossip_.AddMember(member);
  actions_.emplace_back(MemberChanged{member});
}

void Membership::HandleAccusation(const Member& record,
                                  const DaemonName& accuser) {
  Member alive = record;
  alive.status = MemberStatus::kAlive;
  StoreRecord(alive);
  const Member* known = members_.Find(record.name);
  if (known == nullptr || known->incarnation != record.incarnation ||
      !known->present() ||
      members_.HasContactSince(record.name, now_ - kFreshContact)) {
    return;
  }
  suspicions_.AddAccuser(record.name, record.incarnation, accuser, now_);
  if (known->status == MemberStatus::kSuspect || IsProbed(record.name)) return;
  if (suspicions_.CountAccusers(record.name) > kConfirmations) return;
  const auto checks =
      std::count_if(probes_.begin(), probes_.end(), [](const auto& item) {
        return item.second.check && !item.second.failed;
      });
  if (static_cast<std::size_t>(checks) < kMaxChecks) SendProbe(*known, true);
}

void Membership::Refute(const Member& record) {
  if (self_.status == MemberStatus::kLeft) return;
  if (record.incarnation < self_.incarnation) return;
  if (record.incarnation == self_.incarnation &&
      record.status == MemberStatus::kAlive) {
    return;
  }
  wanted_incarnation_ = std::max(wanted_incarnation_, record.incarnation + 1);
  AdoptIncarnation();
}

void Membership::AdoptIncarnation() {
  if (now_ - refuted_ < kRefuteInterval) return;
  refuted_ = now_;
  self_.incarnation = wanted_incarnation_;
  gossip_.AddMember(self_);
  AnnounceMembers({});
}

void Membership::HandleMessage(const PeerMessageArrived& event) {
  const PeerMessage& message = event.message;
  if (message.sender.name == self_.name) return;
  RecordLife(message.sender);
  // The other members already know the list that a joining daemon receives.
  const bool joining = now_ - joined_ < kJoinTime;
  for (const auto& member : message.members) {
    ApplyRecord(member, message.sender.name,
                joining && member.status == MemberStatus::kAlive);
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
                 [&](const Ack& ack) { HandleAck(ack, message.sender); },
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
  if (!ping.joining) return;
  SendMemberList(from);
  actions_.emplace_back(JoinRequested{from});
}

void Membership::HandlePingRequest(const PingRequest& request,
                                   const Endpoint& from) {
  const std::uint32_t sequence = next_sequence_++;
  relayed_pings_[sequence] = {from, request.sequence, now_};
  Send(request.target, Ping{sequence});
}

void Membership::HandleAck(const Ack& ack, const Member& sender) {
  const auto probed = probes_.find(ack.sequence);
  if (probed != probes_.end()) {
    const Probe probe = probed->second;
    probes_.erase(probed);
    const Member* known = members_.Find(probe.target.name);
    if (sender.name == probe.target.name) {
      delays_.Record(sender.name, now_ - probe.started);
    } else if (known != nullptr && known->present()) {
      Reinstate(probe.target.name);
    }
    if (!probe.failed) health_.RecordProbe(probe.target.name, true);
  }
  const auto relay = relayed_pings_.find(ack.sequence);
  if (relay == relayed_pings_.end()) return;
  Send(relay->second.requester, Ack{relay->second.sequence});
  relayed_pings_.erase(relay);
}

void Membership::HandleUpdate(const GossipUpdate& received,
                              const Endpoint& source) {
  const Duration wait = receive_delay_.longest();
  const GossipUpdate update = Delayed(received, wait);
  // A repeat needs no further spread, and an update that waited would be passed
  // on with a wrong age.
  const auto event_age = RepeatedEventAge(update);
  if (event_age && (wait > Duration::zero() ||
                    *event_age >= GossipQueue::kUpdateRetention)) {
    actions_.emplace_back(GossipUpdateReceived{update, source});
    return;
  }
  const UpdateNovelty novelty = gossip_.AddUpdate(update, now_);
  if (novelty == UpdateNovelty::kKnown) return;
  actions_.emplace_back(GossipUpdateReceived{update, source});
  if (novelty == UpdateNovelty::kNew) SpreadUpdate(source);
}

void Membership::HandleLeave() {
  self_.status = MemberStatus::kLeft;
  gossip_.AddMember(self_);
  // Not limited, since no tick follows that could make up for it.
  SendNotices({});
}

}  // namespace wisteriayoke
