#ifndef WISTERIAYOKE_DECISIONS_RECENT_RANKS_H_
#define WISTERIAYOKE_DECISIONS_RECENT_RANKS_H_

#include <map>

#include "base/time_types.h"
#include "decisions/request_rank.h"

namespace wisteriayoke {

/// Remembers the most urgent rank whose requests arrived lately.
class RecentRanks {
 public:
  /// Time for which a rank counts as recent.
  static constexpr Duration kRecent = std::chrono::seconds(2);

  /// Records a request of `rank` that arrived at `now`.
  void Record(RequestRank rank, TimePoint now);

  /// Returns whether a rank more urgent than `rank` is recent.
  bool HasMoreUrgent(RequestRank rank, TimePoint now) const;

 private:
  /// Last arrivals. Ranks that a more urgent one followed are left out, so
  /// that later ranks are less urgent and arrived later.
  std::map<RequestRank, TimePoint> arrivals_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RECENT_RANKS_H_
