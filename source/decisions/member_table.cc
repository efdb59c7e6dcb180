#include "decisions/member_table.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Attempts for each random choice before giving up.
constexpr int kSampleTries = 8;

}  // namespace

bool Supersedes(const Member& candidate, const Member& known) {
  if (candidate.incarnation != known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.status > known.status;
}

bool MemberTable::Merge(const Member& record, TimePoint now) {
  const auto found = entries_.find(record.name);
  if (found == entries_.end()) {
    if (!record.present()) return false;
    entries_[record.name] = {record, now, {}};
    by_endpoint_[record.endpoint] = record.name;
    round_.push_back(record.name);
    ++present_;
    return true;
  }
  Member& known = found->second.member;
  if (!Supersedes(record, known)) return false;
  if (known.present() && !record.present()) --present_;
  if (!known.present() && record.present()) {
    ++present_;
    round_.push_back(record.name);
  }
  by_endpoint_.erase(known.endpoint);
  by_endpoint_[record.endpoint] = record.name;
  known = record;
  found->second.changed = now;
  return true;
}

const Member* MemberTable::Find(const DaemonName& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second.member;
}

const Member* MemberTable::FindNext(const DaemonName& name) const {
  if (present_ == 0) return nullptr;
  auto next = entries_.upper_bound(name);
  while (next == entries_.end() || !next->second.member.present()) {
    if (next == entries_.end()) {
      next = entries_.begin();
    } else {
      ++next;
    }
  }
  return &next->second.member;
}

const Member* MemberTable::FindAt(const Endpoint& endpoint) const {
  const auto found = by_endpoint_.find(endpoint);
  return found == by_endpoint_.end() ? nullptr : Find(found->second);
}

void MemberTable::RecordContact(const DaemonName& name, TimePoint now) {
  const auto found = entries_.find(name);
  if (found != entries_.end()) found->second.last_contact = now;
}

bool MemberTable::HasContactSince(const DaemonName& name,
                                  TimePoint since) const {
  const auto found = entries_.find(name);
  return found != entries_.end() && found->second.last_contact >= since;
}

bool MemberTable::Reinstate(const DaemonName& name, TimePoint now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  if (entry.member.status != MemberStatus::kSuspect) return false;
  entry.member.status = MemberStatus::kAlive;
  entry.changed = now;
  return true;
}

const MemberTable::Entry& MemberTable::NextInRound() {
  while (true) {
    if (next_in_round_ >= round_.size()) Shuffle();
    const auto found = entries_.find(round_[next_in_round_++]);
    if (found != entries_.end() && found->second.member.present()) {
      return found->second;
    }
  }
}

const Member* MemberTable::NextToProbe(TimePoint silent_since) {
  if (present_ == 0) return nullptr;
  const Entry& first = NextInRound();
  if (first.last_contact < silent_since) return &first.member;
  // Covers the rest of this round and all of the next one.
  for (std::size_t i = 1; i < 2 * present_; ++i) {
    const Entry& next = NextInRound();
    if (next.last_contact < silent_since) return &next.member;
  }
  return &first.member;
}

void MemberTable::Shuffle() {
  round_.clear();
  for (const auto& [name, entry] : entries_) {
    if (entry.member.present()) round_.push_back(name);
  }
  std::shuffle(round_.begin(), round_.end(), random_);
  next_in_round_ = 0;
}

std::vector<Member> MemberTable::Sample(std::size_t count,
                                        const Endpoint& excluded) {
  std::vector<Member> sample;
  if (present_ > 0 && round_.empty()) Shuffle();
  for (std::size_t tries = 0;
       tries < count * kSampleTries && sample.size() < count && present_ > 0;
       ++tries) {
    const Member* member = Find(round_[random_() % round_.size()]);
    if (member == nullptr || !member->present()) continue;
    if (member->endpoint == excluded) continue;
    const bool taken = std::any_of(
        sample.begin(), sample.end(),
        [member](const Member& m) { return m.name == member->name; });
    if (!taken) sample.push_back(*member);
  }
  return sample;
}

const Member* MemberTable::SampleDead() {
  if (entries_.size() == present_) return nullptr;
  std::vector<const Member*> dead;
  for (const auto& [name, entry] : entries_) {
    if (entry.member.status == MemberStatus::kDead) {
      dead.push_back(&entry.member);
    }
  }
  return dead.empty() ? nullptr : dead[random_() % dead.size()];
}

std::vector<Member> MemberTable::TakeRoundRobin(std::size_t count) {
  std::vector<Member> present = ListPresent();
  if (present.size() <= count) return present;
  std::vector<Member> taken;
  for (std::size_t i = 0; i < count; ++i) {
    taken.push_back(present[round_robin_next_++ % present.size()]);
  }
  return taken;
}

void MemberTable::Expire(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& entry = it->second;
    if (!entry.member.present() && now - entry.changed >= kAbsentRetention) {
      by_endpoint_.erase(entry.member.endpoint);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<Member> MemberTable::ListPresent() const {
  std::vector<Member> present;
  for (const auto& [name, entry] : entries_) {
    if (entry.member.present()) present.push_back(entry.member);
  }
  return present;
}

}  // namespace wisteriayoke
