#ifndef WISTERIAYOKE_DECISIONS_FLEET_H_
#define WISTERIAYOKE_DECISIONS_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// The entry under which an upstream registered itself in the store.
struct FleetEntry {
  UpstreamSpec upstream;
  PoolName pool;
  bool draining = false;
  std::uint64_t started_ms = 0;  ///< Unix time of the upstream's start, in ms.

  friend bool operator==(const FleetEntry&, const FleetEntry&) = default;
};

/// How a new entry of an upstream differs from the known one.
enum class FleetChange {
  kNone,       ///< The entry is the same.
  kJoined,     ///< The upstream wasn't known.
  kRestarted,  ///< The upstream restarted under the same name.
  kChanged,    ///< Another field changed.
  kDraining,   ///< The upstream began to drain.
};

inline constexpr auto kFleetChangeNames = MakeNamesTable<FleetChange>({
    {FleetChange::kNone, "none"},
    {FleetChange::kJoined, "joined"},
    {FleetChange::kRestarted, "restarted"},
    {FleetChange::kChanged, "changed"},
    {FleetChange::kDraining, "draining"},
});

/// Tracks the upstreams that registered themselves in the store.
///
/// Entries expire while the store is down although their upstreams are alive.
/// An entry that is removed during an outage or soon after it is therefore kept
/// until the upstream had time to register again, counted from the store's
/// return.
class Fleet {
 public:
  /// How long after the store's return an entry of a live upstream may be
  /// missing.
  static constexpr Duration kReregistrationTime =
      std::chrono::milliseconds(1800);
  /// Shortest outage in which an entry can expire: three heartbeats of 1.2 s
  /// have to fail, the first of them as much as one interval after its start.
  static constexpr Duration kShortestOutage = std::chrono::milliseconds(2400);
  /// How long the announcement of an upstream without an entry is kept; far
  /// longer than an upstream goes on serving after it.
  static constexpr Duration kLeavingRetention = std::chrono::minutes(10);

  /// Applies an entry that was read and returns how it changed the upstream.
  FleetChange Apply(const FleetEntry& entry);

  /// Records that `name` announced that it is leaving, in the run that started
  /// at `started_ms`. The announcement holds for that run alone and is kept
  /// beyond the removal of the entry, which may return after an outage. Returns
  /// whether it is new.
  bool RecordLeaving(const UpstreamName& name, std::uint64_t started_ms,
                     TimePoint now);

  /// Handles the removal of the entry of `name`. Returns whether the upstream
  /// was removed; if it was only marked missing, `Expire` removes it later.
  bool Remove(const UpstreamName& name, TimePoint now);

  /// Records how long ago the store last answered this daemon or a peer, as far
  /// as this daemon knows; nullopt if it never did.
  void RecordStoreAge(std::optional<Duration> age, TimePoint now);

  /// Records that the store returned to an older copy of itself. Entries that
  /// it lacks may be written again, as after an outage, and one that was
  /// draining leaves, although the copy may say that it is ready.
  void RecordStoreReset(TimePoint now);

  /// Removes the upstreams whose entries didn't return in time and returns
  /// their names.
  std::vector<UpstreamName> Expire(TimePoint now);

  /// Returns the names of all known upstreams that are not in `present`.
  std::vector<UpstreamName> ListMissing(
      const std::vector<UpstreamName>& present) const;

  /// Returns the entry of `name`, or null.
  const FleetEntry* Find(const UpstreamName& name) const;

  /// Returns the upstreams of `pool` that are neither draining nor announced
  /// that they are leaving.
  std::vector<const FleetEntry*> ListAvailable(const PoolName& pool) const;

  const std::map<UpstreamName, FleetEntry>& entries() const { return entries_; }

 private:
  /// The announcement of an upstream that it is leaving.
  struct LeavingRun {
    std::uint64_t started_ms = 0;
    TimePoint recorded_at;
  };

  bool IsLeaving(const FleetEntry& entry) const;
  bool MayHaveExpired(TimePoint now) const;

  std::map<UpstreamName, FleetEntry> entries_;
  std::map<UpstreamName, LeavingRun> leaving_;
  std::set<UpstreamName> missing_;  ///< Kept without an entry in the store.
  bool store_lost_ = false;
  std::optional<TimePoint> store_returned_;  ///< End of the last outage.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_FLEET_H_
