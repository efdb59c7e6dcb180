#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RANKED_WAIT_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RANKED_WAIT_H_

#include <optional>

#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/relayed_request.h"

namespace wisteriayoke {

/// Records the arrival of `request`. Returns whether it may use what is
/// reserved for the most urgent rank: whether none more urgent arrived lately,
/// or its pool has no ranks.
bool RecordArrival(const DaemonContext& context, const RelayedRequest& request);

/// Returns how long `request` may wait for a place and still be answered in
/// time.
Duration TimelyWaitOf(const RelayedRequest& request);

/// The wait of one request in the queue of its pool, if the pool has ranks.
/// `request` must outlive it.
class RankedWait {
 public:
  RankedWait(DaemonContext context, const RelayedRequest& request,
             TimePoint arrived)
      : context_(context), request_(request), arrived_(arrived) {}

  /// Whether the pool has ranks; nothing else applies to other pools.
  bool applies() const { return request_.is_ranked(); }

  /// Gives the request the next search for a place.
  void GiveTurn() { has_turn_ = true; }

  /// Returns whether the request may search for a place now, and takes its
  /// turn away.
  bool TakeTurn();

  /// Returns the part of an upstream's room that the request may fill.
  double RoomShare() const;

  /// Records that the request got a place and waits no longer.
  void RecordStart();

  /// Handles that there is no place. Returns whether the request waits; if not,
  /// `rule` tells why. `searched` tells whether it searched itself.
  bool MayWait(bool searched);

  /// Returns whether the wait has ended without a place.
  bool IsOver() const;

  /// Ends the wait, if there is one.
  void Stop();

  /// The ticket of a request that waits.
  std::optional<PlaceTicket> ticket() const { return ticket_; }

  /// The rule by which the request was last refused a place.
  std::optional<PlaceRule> rule() const { return rule_; }

 private:
  RankedQueue& Queue() const;
  TimePoint LeavesAt() const;
  bool Join(bool searched);
  bool Refuse(PlaceRule rule, bool searched);
  void Count(RankEvent event) const;

  DaemonContext context_;
  const RelayedRequest& request_;
  TimePoint arrived_;
  std::optional<PlaceTicket> ticket_;
  std::optional<PlaceRule> rule_;
  bool has_turn_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RANKED_WAIT_H_
