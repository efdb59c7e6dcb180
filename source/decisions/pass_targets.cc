#include "decisions/pass_targets.h"

namespace wisteriayoke {

std::optional<Endpoint> PassTargets::Choose(const std::set<Endpoint>& tried,
                                            std::uint64_t draw, TimePoint now) {
  std::erase_if(declined_, [now](const auto& item) {
    return now - item.second >= kDeclineTime;
  });
  std::vector<Endpoint> usable;
  for (const auto& peer : peers_) {
    if (tried.contains(peer) || declined_.contains(peer)) continue;
    usable.push_back(peer);
  }
  if (usable.empty()) return std::nullopt;
  return usable[draw % usable.size()];
}

}  // namespace wisteriayoke
