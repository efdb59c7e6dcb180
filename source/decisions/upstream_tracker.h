#ifndef WISTERIAYOKE_DECISIONS_UPSTREAM_TRACKER_H_
#define WISTERIAYOKE_DECISIONS_UPSTREAM_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/peer_loads.h"
#include "decisions/table_set.h"

namespace wisteriayoke {

/// Whether an upstream gets new work.
enum class UpstreamHealth {
  kHealthy,
  kProbing,  ///< Half open: one request at a time until one succeeds.
  kEjected,
  kLeaving,
};

inline constexpr auto kUpstreamHealthNames = MakeNamesTable<UpstreamHealth>({
    {UpstreamHealth::kHealthy, "healthy"},
    {UpstreamHealth::kProbing, "probing"},
    {UpstreamHealth::kEjected, "ejected"},
    {UpstreamHealth::kLeaving, "leaving"},
});

/// What an upstream last said about its load; it lags.
struct LoadReport {
  std::uint32_t in_flight = 0;      ///< Requests of all daemons.
  std::uint32_t own_in_flight = 0;  ///< This daemon's requests at the time.
};

/// What one daemon knows about one upstream.
struct UpstreamState {
  std::uint32_t in_flight = 0;   ///< This daemon's own requests.
  std::uint32_t prefilling = 0;  ///< Those whose answer hasn't begun.
  std::optional<LoadReport> report;
  Duration latency = Duration::zero();  ///< Peak EWMA; zero while unknown.
  bool leaving = false;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;  ///< In a row, without a success between.
  std::optional<TimePoint> ejected_until;
  std::optional<TimePoint> slow_start_from;
  std::uint32_t declines = 0;  ///< In a row, without a success between.
  std::optional<TimePoint> declined_until;
  double slowdown = 1;  ///< How many times slower than usual it said it is.
  TimePoint slowdown_reported_at;
};

/// Keeps the state of all upstreams and answers which may get new work.
///
/// A failing upstream is ejected, for longer each time, then probed by one
/// request at a time, then given its slots back step by step.
class UpstreamTracker {
 public:
  /// Largest share of a pool's upstreams that is ejected at a time.
  static constexpr double kMaxEjectedShare = 0.5;

  /// Forgets the upstreams that `tables` no longer names.
  void Retain(const TableSet& tables);

  void RecordStart(const UpstreamName& name);
  /// Notes that a request began to have its prompt read there, or that its
  /// answer began or won't.
  void RecordPrefillStart(const UpstreamName& name);
  void RecordPrefillEnd(const UpstreamName& name);
  void RecordSuccess(const UpstreamName& name);
  /// Ends a request with success; `now` is when, `latency` how long one unit of
  /// work took.
  void RecordSuccess(const UpstreamName& name, Duration latency, TimePoint now);
  void RecordFailure(const UpstreamName& name, TimePoint now);
  /// Ends a request that says nothing about the upstream's health.
  void RecordEnd(const UpstreamName& name);
  /// Ends a request that was answered badly or not at all; it counts as one
  /// that took `latency`, so that the upstream is preferred less.
  void RecordPoorAnswer(const UpstreamName& name, Duration latency);
  void SetLeaving(const UpstreamName& name, bool leaving);

  /// Takes `name` out of use until a probe succeeds.
  void Eject(const UpstreamName& name, TimePoint now);

  /// Takes `name` out of use for a while, since it declined a request. That it
  /// answers questions doesn't end this.
  void RecordDecline(const UpstreamName& name, TimePoint now);

  /// Takes `name` back into use, since it answered a question.
  void Restore(const UpstreamName& name);

  /// Forgets what is known of the health of `name`, since it started again.
  void Reset(const UpstreamName& name);

  /// Takes in how many times slower than usual the upstream said it is.
  void RecordSlowdown(const UpstreamName& name, double slowdown, TimePoint now);

  /// Returns what the upstream last said of its pace, if it is recent; else 1.
  double SlowdownOf(const UpstreamName& name, TimePoint now) const;

  /// Takes in what the upstream said about the requests that it runs.
  void RecordLoadReport(const UpstreamName& name, std::uint32_t in_flight);

  const std::map<UpstreamName, UpstreamState>& states() const {
    return states_;
  }

  UpstreamHealth HealthOf(const UpstreamName& name, TimePoint now) const;

  /// Returns the state of `name`; a default one if nothing is known.
  const UpstreamState& StateOf(const UpstreamName& name) const;

  /// Returns the best estimate of the requests of all daemons at `name`: own
  /// ones and those that the peers told of, or, where no peer tells, the
  /// upstream's report corrected by what this daemon did since.
  std::uint32_t CountInFlight(const UpstreamName& name,
                              const PeerLoads& peer_loads) const;

  /// Returns the slots of `upstream` that may be used now: one while probing,
  /// a rising part of all during a slow start.
  std::uint32_t CountSlots(const UpstreamSpec& upstream, TimePoint now) const;

  /// Returns the upstreams of `pool` that may get new work. If more than
  /// `kMaxEjectedShare` of them are ejected, those whose ejection ends first
  /// are returned as well.
  std::vector<const UpstreamSpec*> ListUsable(
      const Pool& pool, const std::set<UpstreamName>& excluded,
      TimePoint now) const;

 private:
  std::vector<const UpstreamSpec*> ListEjectedToKeep(const Pool& pool,
                                                     TimePoint now) const;

  std::map<UpstreamName, UpstreamState> states_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_UPSTREAM_TRACKER_H_
