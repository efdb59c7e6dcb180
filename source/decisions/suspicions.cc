#include "decisions/suspicions.h"

#include <algorithm>
#include <cmath>

namespace wisteriayoke {

Duration SuspicionTimes::TimeFor(std::size_t accusers) const {
  if (accusers >= confirmations) return least;
  const double share = std::log(static_cast<double>(accusers) + 1) /
                       std::log(static_cast<double>(confirmations) + 1);
  const auto range = static_cast<double>((most - least).count());
  return most - Duration(static_cast<Duration::rep>(range * share));
}

Suspicions::Entry& Suspicions::EntryOf(const DaemonName& member,
                                       std::uint64_t incarnation,
                                       TimePoint now) {
  Entry& entry = entries_[member];
  if (entry.incarnation < incarnation) {
    entry = {.incarnation = incarnation, .first_heard = now};
  }
  return entry;
}

void Suspicions::AddAccuser(const DaemonName& member, std::uint64_t incarnation,
                            const DaemonName& accuser, TimePoint now) {
  Entry& entry = EntryOf(member, incarnation, now);
  if (entry.incarnation != incarnation) return;
  if (entry.accusers.size() < kMaxAccusers) entry.accusers.insert(accuser);
}

void Suspicions::RemoveAccuser(const DaemonName& member,
                               const DaemonName& accuser) {
  const auto found = entries_.find(member);
  if (found == entries_.end()) return;
  found->second.accusers.erase(accuser);
  if (found->second.accusers.empty() && !found->second.own_since) {
    entries_.erase(found);
  }
}

void Suspicions::AddOwn(const DaemonName& member, std::uint64_t incarnation,
                        TimePoint now) {
  Entry& entry = EntryOf(member, incarnation, now);
  if (!entry.own_since) entry.own_since = now;
}

std::size_t Suspicions::CountAccusers(const DaemonName& member) const {
  const auto found = entries_.find(member);
  return found == entries_.end() ? 0 : found->second.accusers.size();
}

std::optional<DaemonName> Suspicions::FirstAccuser(
    const DaemonName& member) const {
  const auto found = entries_.find(member);
  if (found == entries_.end() || found->second.accusers.empty()) return {};
  return *found->second.accusers.begin();
}

std::vector<DaemonName> Suspicions::TakeOwn(std::size_t count) {
  std::vector<DaemonName> taken;
  auto next = entries_.upper_bound(last_taken_);
  for (std::size_t i = 0; i < entries_.size() && taken.size() < count; ++i) {
    if (next == entries_.end()) next = entries_.begin();
    if (next->second.own_since) taken.push_back(next->first);
    ++next;
  }
  if (!taken.empty()) last_taken_ = taken.back();
  return taken;
}

std::vector<DaemonName> Suspicions::ListDue(const SuspicionTimes& times,
                                            TimePoint now) const {
  std::vector<DaemonName> due;
  for (const auto& [member, entry] : entries_) {
    if (!entry.own_since) continue;
    const Duration time = times.TimeFor(entry.accusers.size());
    if (now - *entry.own_since >= time) due.push_back(member);
  }
  return due;
}

void Suspicions::Postpone(Duration pause, TimePoint now) {
  for (auto& [member, entry] : entries_) {
    entry.first_heard = std::min(now, entry.first_heard + pause);
    if (entry.own_since) {
      entry.own_since = std::min(now, *entry.own_since + pause);
    }
  }
}

void Suspicions::Expire(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    const Entry& entry = item.second;
    return !entry.own_since && now - entry.first_heard >= kRetention;
  });
}

}  // namespace wisteriayoke
