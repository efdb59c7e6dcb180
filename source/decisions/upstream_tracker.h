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

/// Health of an upstream, which decides whether it gets new work.
enum class UpstreamHealth {
  kHealthy,
  kProbing,  ///< Half open: gets one request at a time until one succeeds.
  kEjected,
  kLeaving,
};

inline constexpr auto kUpstreamHealthNames = MakeNamesTable<UpstreamHealth>({
    {UpstreamHealth::kHealthy, "healthy"},
    {UpstreamHealth::kProbing, "probing"},
    {UpstreamHealth::kEjected, "ejected"},
    {UpstreamHealth::kLeaving, "leaving"},
});

/// Load that an upstream last reported, with a lag.
struct LoadReport {
  std::uint32_t in_flight = 0;      ///< Requests of all daemons.
  std::uint32_t own_in_flight = 0;  ///< This daemon's requests at that time.
};

/// State of one upstream as seen by this daemon.
struct UpstreamState {
  std::uint32_t in_flight = 0;   ///< This daemon's own requests.
  std::uint32_t prefilling = 0;  ///< Own requests whose answer hasn't begun.
  std::optional<LoadReport> report;
  Duration latency = Duration::zero();  ///< Peak EWMA; zero while unknown.
  bool leaving = false;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;  ///< Consecutive, without a success between.
  std::optional<TimePoint> ejected_until;
  std::optional<TimePoint> slow_start_from;
  std::uint32_t declines = 0;  ///< Consecutive, without a success between.
  std::optional<TimePoint> declined_until;
  /// End of the time for which the upstream asked this daemon for no work.
  std::optional<TimePoint> held_off_until;
  double slowdown = 1;  ///< Reported factor by which it is slower than usual.
  TimePoint slowdown_reported_at;
};

/// Tracks health and load of upstreams and lists those that may get new work.
///
/// A failing upstream is ejected, for longer each time, then probed by one
/// request at a time, then given its slots back gradually.
class UpstreamTracker {
 public:
  /// Largest share of a pool's upstreams that are ejected at a time.
  static constexpr double kMaxEjectedShare = 0.5;
  /// Longest time for which an upstream may ask for no work.
  static constexpr Duration kMaxHoldOff = std::chrono::minutes(1);

  /// Removes the upstreams that `tables` no longer lists.
  void Retain(const TableSet& tables);

  void RecordStart(const UpstreamName& name);
  /// Records the start or the end of the time in which an upstream reads a
  /// request's prompt. It ends when the answer begins or the attempt ends.
  void RecordPrefillStart(const UpstreamName& name);
  void RecordPrefillEnd(const UpstreamName& name);
  void RecordSuccess(const UpstreamName& name);
  /// Ends a request with success at `now`; `latency` is the time for one unit
  /// of work.
  void RecordSuccess(const UpstreamName& name, Duration latency, TimePoint now);
  void RecordFailure(const UpstreamName& name, TimePoint now);
  /// Ends a request that gives no evidence of the upstream's health.
  void RecordEnd(const UpstreamName& name);
  /// Ends a request that was answered badly or not at all. Treats it as one
  /// that took `latency`, so that the upstream is preferred less.
  void RecordPoorAnswer(const UpstreamName& name, Duration latency);
  void SetLeaving(const UpstreamName& name, bool leaving);

  /// Takes `name` out of use until a probe succeeds. Returns whether it was in
  /// use.
  bool Eject(const UpstreamName& name, TimePoint now);

  /// Takes `name` out of use for a while, since it declined a request. An
  /// answer to a poll (`Restore`) doesn't end this.
  void RecordDecline(const UpstreamName& name, TimePoint now);

  /// Records that `name` asked this daemon at `now` for no work for `time`, at
  /// most `kMaxHoldOff`. Only a restart of the upstream ends this earlier.
  void RecordHoldOff(const UpstreamName& name, Duration time, TimePoint now);

  /// Returns how much longer `name` wants no work from this daemon.
  Duration HoldOffLeft(const UpstreamName& name, TimePoint now) const;

  /// Ends an ejection of `name`, since it answered a poll.
  void Restore(const UpstreamName& name);

  /// Resets the state of `name` after a restart, except its requests in flight.
  void Reset(const UpstreamName& name);

  /// Records the factor by which the upstream reports to be slower than usual.
  void RecordSlowdown(const UpstreamName& name, double slowdown, TimePoint now);

  /// Returns the factor last reported by the upstream if it is recent, else 1.
  double SlowdownOf(const UpstreamName& name, TimePoint now) const;

  /// Records the number of requests that the upstream reports to run.
  void RecordLoadReport(const UpstreamName& name, std::uint32_t in_flight);

  const std::map<UpstreamName, UpstreamState>& states() const {
    return states_;
  }

  UpstreamHealth HealthOf(const UpstreamName& name, TimePoint now) const;

  /// Returns the state of `name`; a default state if the name is unknown.
  const UpstreamState& StateOf(const UpstreamName& name) const;

  /// Returns the best estimate of the requests of all daemons at `name`: this
  /// daemon's requests plus those that the peers reported or, without peers,
  /// those of other daemons in the upstream's last report.
  std::uint32_t CountInFlight(const UpstreamName& name,
                              const PeerLoads& peer_loads) const;

  /// Returns the slots of `upstream` that may be used now: one while probing,
  /// a rising share of all during a slow start.
  std::uint32_t CountSlots(const UpstreamSpec& upstream, TimePoint now) const;

  /// Returns the upstreams of `pool` that may get new work. If more than
  /// `kMaxEjectedShare` of them are ejected, the excess whose ejection ends
  /// first is returned as well, except upstreams that asked for no work.
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
