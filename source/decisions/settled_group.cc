#include "decisions/settled_group.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decisions/in_flight_counts.h"

namespace wisteriayoke {

bool SettledGroup::Record(const Member& member, TimePoint now) {
  if (member.present()) {
    if (deaths_.erase(member.name) > 0) changes_.push_back(now);
    return view_.insert(member.name).second;
  }
  if (member.status == MemberStatus::kLeft) {
    deaths_.erase(member.name);
    return view_.erase(member.name) > 0;
  }
  if (!view_.contains(member.name)) return false;
  if (deaths_.try_emplace(member.name, now).second) changes_.push_back(now);
  return Tick(now);
}

bool SettledGroup::Tick(TimePoint now) {
  if (deaths_.empty()) return false;
  const bool churning = IsChurning(now);
  bool changed = false;
  for (auto it = deaths_.begin(); it != deaths_.end();) {
    const Duration age = now - it->second;
    if (!churning || age >= kLongestHold) changed |= view_.erase(it->first) > 0;
    it = age >= kDeathRetention ? deaths_.erase(it) : std::next(it);
  }
  return changed;
}

bool SettledGroup::IsChurning(TimePoint now) {
  while (!changes_.empty() && now - changes_.front() >= kWindow) {
    changes_.pop_front();
  }
  return changes_.size() >
         std::max(kIsolatedChanges, view_.size() / kMembersPerChange);
}

std::size_t SettledGroup::RankByName() const {
  return static_cast<std::size_t>(
      std::distance(view_.begin(), view_.lower_bound(self_)));
}

std::size_t SettledGroup::RankByDigest() const {
  const auto key = [](const DaemonName& name) {
    return std::pair(DigestOf(name), name);
  };
  return static_cast<std::size_t>(std::count_if(
      view_.begin(), view_.end(),
      [&](const DaemonName& name) { return key(name) < key(self_); }));
}

}  // namespace wisteriayoke
