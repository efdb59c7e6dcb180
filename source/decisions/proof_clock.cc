#include "decisions/proof_clock.h"

namespace wisteriayoke {

void ProofClock::RecordPing(std::uint32_t sequence, BootTime now) {
  std::erase_if(pings_, [now](const auto& ping) {
    return now - ping.second >= kPingLifetime;
  });
  pings_[sequence] = now;
}

std::optional<BootTime> ProofClock::TakeProof(std::uint32_t sequence,
                                              std::optional<Duration> age,
                                              BootTime now) {
  const auto ping = pings_.find(sequence);
  if (ping == pings_.end()) return std::nullopt;
  const BootTime sent = ping->second;
  pings_.erase(ping);
  if (!age || *age < Duration::zero() || now - sent >= kPingLifetime) {
    return std::nullopt;
  }
  return sent - *age;
}

}  // namespace wisteriayoke
