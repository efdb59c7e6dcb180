#include "decisions/peer_loads.h"

#include <algorithm>

namespace wisteriayoke {

void PeerLoads::Record(const DaemonName& daemon, const InFlightCounts& counts,
                       TimePoint now) {
  Report& report = reports_[daemon];
  Subtract(report.counts);
  for (const auto& count : counts) {
    if (count.in_flight > 0) sums_[count.upstream] += count.in_flight;
  }
  report = {counts, now};
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
  const auto found = reports_.find(daemon);
  if (found == reports_.end()) return;
  Subtract(found->second.counts);
  reports_.erase(found);
}

void PeerLoads::Expire(TimePoint now) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.time < kLifetime) {
      ++it;
      continue;
    }
    Subtract(it->second.counts);
    it = reports_.erase(it);
  }
}

std::uint32_t PeerLoads::InFlightOf(const UpstreamName& upstream) const {
  const auto found = sums_.find(DigestOf(upstream));
  if (found == sums_.end()) return 0;
  const std::size_t reporters = reports_.size();
  const std::size_t peers = CountPeers();
  return static_cast<std::uint32_t>((found->second * peers + reporters / 2) /
                                    reporters);
}

double PeerLoads::Scale() const {
  if (reports_.empty()) return 1;
  return static_cast<double>(CountPeers()) /
         static_cast<double>(reports_.size());
}

std::size_t PeerLoads::CountPeers() const {
  return std::max(peers_, reports_.size());
}

}  // namespace wisteriayoke
