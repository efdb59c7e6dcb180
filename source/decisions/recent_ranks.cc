#include "decisions/recent_ranks.h"

namespace wisteriayoke {

void RecentRanks::Record(RequestRank rank, TimePoint now) {
  arrivals_.erase(arrivals_.lower_bound(rank), arrivals_.end());
  arrivals_[rank] = now;
  while (now - arrivals_.begin()->second >= kRecent) {
    arrivals_.erase(arrivals_.begin());
  }
}

bool RecentRanks::HasMoreUrgent(RequestRank rank, TimePoint now) const {
  for (const auto& [seen, at] : arrivals_) {
    if (!(seen < rank)) return false;
    if (now - at < kRecent) return true;
  }
  return false;
}

}  // namespace wisteriayoke
