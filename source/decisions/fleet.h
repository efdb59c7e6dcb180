#ifndef WISTERIAYOKE_DECISIONS_FLEET_H_
#define WISTERIAYOKE_DECISIONS_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// What an upstream registered of itself.
struct FleetEntry {
  UpstreamSpec upstream;
  PoolName pool;
  bool draining = false;
  std::uint64_t started_ms = 0;  ///< Unix time of its start, in milliseconds.

  friend bool operator==(const FleetEntry&, const FleetEntry&) = default;
};

/// How an entry changed what is known of its upstream.
enum class FleetChange {
  kNone,       ///< Nothing that matters.
  kJoined,     ///< It wasn't known.
  kRestarted,  ///< It has started again under its name.
  kChanged,    ///< Its state or its layers changed.
  kDraining,   ///< It began to leave.
};

inline constexpr auto kFleetChangeNames = MakeNamesTable<FleetChange>({
    {FleetChange::kNone, "none"},
    {FleetChange::kJoined, "joined"},
    {FleetChange::kRestarted, "restarted"},
    {FleetChange::kChanged, "changed"},
    {FleetChange::kDraining, "draining"},
});

/// Knows the upstreams that registered themselves in the store.
///
/// Entries lapse while the store is down although their upstreams live. One
/// that is missing right after an outage is therefore kept for a while.
class Fleet {
 public:
  /// How long after an outage entries may be missing though their upstreams
  /// live; the platform states two seconds, and a leaving upstream may get no
  /// work after as long.
  static constexpr Duration kLapseTime = std::chrono::milliseconds(1800);

  /// Takes in an entry that was read.
  FleetChange Apply(const FleetEntry& entry);

  /// Takes in that the entry of `name` was removed. Returns whether the
  /// upstream is gone; if not, `Expire` tells later.
  bool Remove(const UpstreamName& name, TimePoint now);

  /// Takes in that the store answers again after an outage.
  void RecordStoreRecovery(TimePoint now) { store_returned_ = now; }

  /// Forgets the upstreams whose entries didn't come back and returns them.
  std::vector<UpstreamName> Expire(TimePoint now);

  /// Returns the names of all that are known but not in `present`.
  std::vector<UpstreamName> ListMissing(
      const std::vector<UpstreamName>& present) const;

  /// Returns the entry of `name`, or null.
  const FleetEntry* Find(const UpstreamName& name) const;

  /// Returns the upstreams of `pool` that take new work.
  std::vector<const FleetEntry*> ListAvailable(const PoolName& pool) const;

  const std::map<UpstreamName, FleetEntry>& entries() const { return entries_; }

 private:
  std::map<UpstreamName, FleetEntry> entries_;
  std::map<UpstreamName, TimePoint> missing_since_;
  std::optional<TimePoint> store_returned_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_FLEET_H_
