#ifndef WISTERIAYOKE_DECISIONS_UPSTREAM_BOOK_H_
#define WISTERIAYOKE_DECISIONS_UPSTREAM_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/table_set.h"

namespace wisteriayoke {

/// Whether an upstream gets new work.
enum class UpstreamHealth { kHealthy, kEjected, kLeaving };

inline constexpr auto kUpstreamHealthNames = MakeNamesTable<UpstreamHealth>({
    {UpstreamHealth::kHealthy, "healthy"},
    {UpstreamHealth::kEjected, "ejected"},
    {UpstreamHealth::kLeaving, "leaving"},
});

/// What one daemon knows about one upstream.
struct UpstreamState {
  std::uint32_t in_flight = 0;  ///< This daemon's own requests.
  bool leaving = false;
  std::uint32_t consecutive_failures = 0;
  std::optional<TimePoint> ejected_until;
};

/// Keeps the state of all upstreams and answers which may get new work.
class UpstreamBook {
 public:
  /// Forgets the upstreams that `tables` no longer names.
  void Retain(const TableSet& tables);

  void RecordStart(const UpstreamName& name);
  void RecordSuccess(const UpstreamName& name);
  void RecordFailure(const UpstreamName& name, TimePoint now);
  /// Ends a request that says nothing about the upstream's health.
  void RecordEnd(const UpstreamName& name);
  void SetLeaving(const UpstreamName& name, bool leaving);

  UpstreamHealth HealthOf(const UpstreamName& name, TimePoint now) const;

  /// Returns the state of `name`; a default one if nothing is known.
  const UpstreamState& StateOf(const UpstreamName& name) const;

  /// Returns the upstreams of `pool` that may get new work.
  std::vector<const UpstreamSpec*> ListUsable(
      const Pool& pool, const std::set<UpstreamName>& excluded,
      TimePoint now) const;

 private:
  std::map<UpstreamName, UpstreamState> states_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_UPSTREAM_BOOK_H_
