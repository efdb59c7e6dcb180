#ifndef WISTERIAYOKE_DECISIONS_PLACE_QUEUE_H_
#define WISTERIAYOKE_DECISIONS_PLACE_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>

#include "base/time_types.h"
#include "decisions/decaying_rate.h"
#include "decisions/request_rank.h"

namespace wisteriayoke {

/// Decides, for one pool whose upstreams are full, which requests wait in this
/// daemon for a place and when the callers of the others should return.
///
/// A request waits only if places become free fast enough for it. Refused
/// callers get return times at a rate that the pool can take besides its usual
/// load, since a crowd that returns at once is refused once more.
class PlaceQueue {
 public:
  /// Requests that may wait whatever the rate, which is unknown at first.
  static constexpr std::size_t kMinWaiting = 2;
  /// Time between two searches for a place while requests wait.
  static constexpr Duration kSearchInterval = std::chrono::milliseconds(8);

  /// Records that a request got a place at `now`.
  void RecordStart(TimePoint now) { starts_.Record(now); }

  /// Adds a request that may wait for `limit`. Returns whether it may wait.
  bool TryJoin(Duration limit, TimePoint now);

  /// Removes a request that waited.
  void Leave();

  /// Returns whether a request may search for a place now: one that waits only
  /// if the last search in vain was `kSearchInterval` ago, a new one only if
  /// none waits.
  bool MaySearch(bool waiting, TimePoint now) const;

  /// Records that no place was found at `now`.
  void RecordBusy(TimePoint now) { busy_at_ = now; }

  /// Returns after what time a caller that is refused at `now` should return:
  /// at least `least`, at most `most`. The returns of less urgent ranks leave
  /// the time of more urgent ones to them; without ranks, all have the same.
  Duration ScheduleReturn(Duration least, Duration most, TimePoint now,
                          RequestRank rank = {});

  std::size_t waiting() const { return waiting_; }

  /// Returns the requests a second that got a place lately.
  double RateAt(TimePoint now) const { return starts_.RateAt(now); }

 private:
  std::size_t waiting_ = 0;
  std::optional<TimePoint> busy_at_;
  DecayingRate starts_;
  std::map<RequestRank, TimePoint> next_returns_;
  double spread_ = 0;  ///< Position of the last return beyond the schedule.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PLACE_QUEUE_H_
