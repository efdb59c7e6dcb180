#include "decisions/peer_loads.h"

#include <set>

namespace wisteriayoke {

void PeerLoads::Record(const LoadRumour& rumour, TimePoint now) {
  loads_[rumour.upstream][rumour.daemon] = {rumour.in_flight, now};
}

void PeerLoads::Drop(const DaemonName& daemon) {
  for (auto& [upstream, entries] : loads_) entries.erase(daemon);
}

void PeerLoads::Expire(TimePoint now) {
  for (auto& [upstream, entries] : loads_) {
    std::erase_if(entries, [now](const auto& item) {
      return now - item.second.seen >= kLifetime;
    });
  }
  std::erase_if(loads_, [](const auto& item) { return item.second.empty(); });
}

std::uint32_t PeerLoads::InFlightOf(const UpstreamName& upstream,
                                    TimePoint now) const {
  const auto found = loads_.find(upstream);
  if (found == loads_.end()) return 0;
  std::uint32_t sum = 0;
  for (const auto& [daemon, entry] : found->second) {
    if (now - entry.seen < kLifetime) sum += entry.in_flight;
  }
  return sum;
}

std::size_t PeerLoads::CountDaemons() const {
  std::set<DaemonName> daemons;
  for (const auto& [upstream, entries] : loads_) {
    for (const auto& [daemon, entry] : entries) daemons.insert(daemon);
  }
  return daemons.size();
}

}  // namespace wisteriayoke
