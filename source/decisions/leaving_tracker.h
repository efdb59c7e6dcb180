#ifndef WISTERIAYOKE_DECISIONS_LEAVING_TRACKER_H_
#define WISTERIAYOKE_DECISIONS_LEAVING_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/gossip_update.h"

namespace wisteriayoke {

/// An upstream said of itself whether it is leaving. One that can't be reached
/// says nothing.
struct UpstreamLeavingReport {
  UpstreamName upstream;
  bool leaving = false;
};

/// What the platform's list says of one upstream.
struct ListedUpstream {
  UpstreamName upstream;
  bool leaving = false;
};

/// The platform's list was read.
struct InstanceListRead {
  std::uint64_t revision = 0;
  std::vector<ListedUpstream> upstreams;
};

/// A peer told that it has seen a sign.
struct LeavingUpdateReceived {
  LeavingUpdate update;
};

/// Time has passed; fed every `LeavingTracker::kTickInterval`.
struct LeavingTick {};

using LeavingEvent = std::variant<UpstreamLeavingReport, InstanceListRead,
                                  LeavingUpdateReceived, LeavingTick>;

/// Give no new work to `upstream` from now on, or give it work again.
struct MarkLeaving {
  UpstreamName upstream;
  bool leaving = false;
};

/// Tell the peers that this daemon has seen a sign.
struct AnnounceLeaving {
  UpstreamName upstream;
};

using LeavingAction = std::variant<MarkLeaving, AnnounceLeaving>;

/// Decides which upstreams get no new work because they are leaving.
///
/// The first sign counts, from whichever source. It is withdrawn only by its
/// own source: the upstream's word by a steady word to the contrary, the list
/// by a later revision that names the upstream as live, a peer's by its lapse.
class LeavingTracker {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(200);
  /// How long a sign that a peer has seen holds without being renewed.
  static constexpr Duration kPeerSignLifetime = std::chrono::seconds(5);
  /// How often a sign that this daemon sees is renewed for its peers.
  static constexpr Duration kRenewalInterval = std::chrono::seconds(1);
  /// How long an upstream must say without a break that it isn't leaving.
  static constexpr Duration kReturnTime = std::chrono::seconds(2);

  /// Handles one event at `now` and returns what to do, in order.
  std::vector<LeavingAction> Handle(const LeavingEvent& event, TimePoint now);

  bool IsLeaving(const UpstreamName& upstream) const;

  /// Returns all upstreams that are marked.
  std::vector<UpstreamName> ListLeaving() const;

 private:
  struct Signs {
    bool by_upstream = false;
    bool by_list = false;
    std::optional<TimePoint> well_since;  ///< First of the words that it stays.
    std::optional<TimePoint> by_peer_until;
    std::optional<TimePoint> told;
    bool marked = false;

    bool first_hand() const { return by_upstream || by_list; }
  };

  void HearWord(const UpstreamLeavingReport& word, TimePoint now);
  void HearList(const InstanceListRead& list);
  void HearPeer(const LeavingUpdate& update, TimePoint now);
  static void Review(const UpstreamName& upstream, Signs& signs, TimePoint now,
                     std::vector<LeavingAction>& actions);

  std::map<UpstreamName, Signs> signs_;
  std::uint64_t revision_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LEAVING_TRACKER_H_
