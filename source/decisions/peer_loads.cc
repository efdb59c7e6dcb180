#include "decisions/peer_loads.h"

#include <algorithm>

namespace wisteriayoke {

void PeerLoads::Record(const DaemonName& daemon, const InFlightCounts& counts,
                       TimePoint now) {
  Told& told = told_[daemon];
  Subtract(told.counts);
  for (const auto& count : counts) {
    if (count.in_flight > 0) sums_[count.upstream] += count.in_flight;
  }
  told = {counts, now};
}

void PeerLoads::Subtract(const InFlightCounts& counts) {
  for (const auto& count : counts) {
    if (count.in_flight == 0) continue;
    const auto found = sums_.find(count.upstream);
    found->second -= count.in_flight;
    if (found->second == 0) sums_.erase(found);
  }
}

void PeerLoads::Drop(const DaemonName& daemon) {
  const auto found = told_.find(daemon);
  if (found == told_.end()) return;
  Subtract(found->second.counts);
  told_.erase(found);
}

void PeerLoads::Expire(TimePoint now) {
  for (auto it = told_.begin(); it != told_.end();) {
    if (now - it->second.time < kLifetime) {
      ++it;
      continue;
    }
    Subtract(it->second.counts);
    it = told_.erase(it);
  }
}

std::uint32_t PeerLoads::InFlightOf(const UpstreamName& upstream) const {
  const auto found = sums_.find(DigestOf(upstream));
  if (found == sums_.end()) return 0;
  const std::size_t tellers = told_.size();
  const std::size_t peers = CountPeers();
  return static_cast<std::uint32_t>((found->second * peers + tellers / 2) /
                                    tellers);
}

std::size_t PeerLoads::CountPeers() const {
  return std::max(peers_, told_.size());
}

}  // namespace wisteriayoke
