#ifndef WISTERIAYOKE_DECISIONS_PASS_TARGETS_H_
#define WISTERIAYOKE_DECISIONS_PASS_TARGETS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Chooses the peer to which a daemon without links to upstreams passes a
/// request on.
class PassTargets {
 public:
  /// How long a peer that declined is left out; others are better known then.
  static constexpr Duration kDeclineTime = std::chrono::seconds(2);

  void SetPeers(std::vector<Endpoint> peers) { peers_ = std::move(peers); }

  /// Returns a peer that isn't in `tried` and hasn't declined lately, chosen by
  /// `draw`; nullopt if there is none.
  std::optional<Endpoint> Choose(const std::set<Endpoint>& tried,
                                 std::uint64_t draw, TimePoint now);

  /// Records that `peer` took no request.
  void RecordDecline(const Endpoint& peer, TimePoint now) {
    declined_[peer] = now;
  }

 private:
  std::vector<Endpoint> peers_;
  std::map<Endpoint, TimePoint> declined_;  ///< When each declined last.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PASS_TARGETS_H_
