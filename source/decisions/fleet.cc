#include "decisions/fleet.h"

#include <algorithm>
#include <utility>

namespace wisteriayoke {

FleetChange Fleet::Apply(const FleetEntry& entry) {
  const UpstreamName& name = entry.upstream.name;
  missing_.erase(name);
  const auto [found, added] = entries_.try_emplace(name, entry);
  if (added) return FleetChange::kJoined;
  const FleetEntry before = std::exchange(found->second, entry);
  if (before == entry) return FleetChange::kNone;
  if (before.started_ms != entry.started_ms) return FleetChange::kRestarted;
  if (entry.draining && !before.draining) return FleetChange::kDraining;
  return FleetChange::kChanged;
}

bool Fleet::RecordLeaving(const UpstreamName& name, std::uint64_t started_ms,
                          TimePoint now) {
  const auto [found, added] =
      leaving_.try_emplace(name, LeavingRun{started_ms, now});
  if (added) return true;
  // Upstreams restart under the same name, so word of an earlier run may be
  // late.
  if (started_ms <= found->second.started_ms) return false;
  found->second = {started_ms, now};
  return true;
}

bool Fleet::IsLeaving(const FleetEntry& entry) const {
  const auto found = leaving_.find(entry.upstream.name);
  return found != leaving_.end() &&
         found->second.started_ms == entry.started_ms;
}

void Fleet::RecordStoreAge(std::optional<Duration> age, TimePoint now) {
  if (!age || *age >= kShortestOutage) {
    store_lost_ = true;
  } else if (std::exchange(store_lost_, false)) {
    store_returned_ = now - *age;
  }
}

void Fleet::RecordStoreReset(TimePoint now) {
  store_returned_ = now;
  for (const auto& [name, entry] : entries_) {
    if (entry.draining) RecordLeaving(name, entry.started_ms, now);
  }
}

/// Returns whether a live upstream's entry may be missing because of an outage.
bool Fleet::MayHaveExpired(TimePoint now) const {
  return store_lost_ ||
         (store_returned_ && now - *store_returned_ < kReregistrationTime);
}

bool Fleet::Remove(const UpstreamName& name, TimePoint now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return false;
  if (MayHaveExpired(now) && !found->second.draining) {
    missing_.insert(name);
    return false;
  }
  entries_.erase(found);
  missing_.erase(name);
  return true;
}

std::vector<UpstreamName> Fleet::Expire(TimePoint now) {
  std::vector<UpstreamName> gone;
  if (!MayHaveExpired(now)) {
    gone.assign(missing_.begin(), missing_.end());
    missing_.clear();
  }
  for (const auto& name : gone) entries_.erase(name);
  std::erase_if(leaving_, [this, now](const auto& item) {
    return !entries_.contains(item.first) &&
           now - item.second.recorded_at >= kLeavingRetention;
  });
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
    if (entry.pool != pool || entry.draining || IsLeaving(entry)) continue;
    open.push_back(&entry);
  }
  return open;
}

}  // namespace wisteriayoke
