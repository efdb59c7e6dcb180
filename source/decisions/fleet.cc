#include "decisions/fleet.h"

#include <algorithm>

namespace wisteriayoke {

FleetChange Fleet::Apply(const FleetEntry& entry) {
  const UpstreamName& name = entry.upstream.name;
  missing_since_.erase(name);
  const auto [found, added] = entries_.try_emplace(name, entry);
  if (added) return FleetChange::kJoined;
  const FleetEntry before = std::exchange(found->second, entry);
  if (before == entry) return FleetChange::kNone;
  if (before.started_ms != entry.started_ms) return FleetChange::kRestarted;
  if (entry.draining && !before.draining) return FleetChange::kDraining;
  return FleetChange::kChanged;
}

bool Fleet::Remove(const UpstreamName& name, TimePoint now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return false;
  const bool may_have_lapsed =
      store_returned_ && now - *store_returned_ < kReregistrationTime;
  if (may_have_lapsed && !found->second.draining) {
    missing_since_.try_emplace(name, now);
    return false;
  }
  entries_.erase(found);
  missing_since_.erase(name);
  return true;
}

std::vector<UpstreamName> Fleet::Expire(TimePoint now) {
  std::vector<UpstreamName> gone;
  for (const auto& [name, since] : missing_since_) {
    if (now - since >= kReregistrationTime) gone.push_back(name);
  }
  for (const auto& name : gone) {
    missing_since_.erase(name);
    entries_.erase(name);
  }
  return gone;
}

std::vector<UpstreamName> Fleet::ListMissing(
    const std::vector<UpstreamName>& present) const {
  std::vector<UpstreamName> missing;
  for (const auto& [name, entry] : entries_) {
    if (std::find(present.begin(), present.end(), name) == present.end()) {
      missing.push_back(name);
    }
  }
  return missing;
}

const FleetEntry* Fleet::Find(const UpstreamName& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const FleetEntry*> Fleet::ListAvailable(
    const PoolName& pool) const {
  std::vector<const FleetEntry*> open;
  for (const auto& [name, entry] : entries_) {
    if (entry.pool == pool && !entry.draining) open.push_back(&entry);
  }
  return open;
}

}  // namespace wisteriayoke
