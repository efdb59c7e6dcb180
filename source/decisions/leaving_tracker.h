#ifndef WISTERIAYOKE_DECISIONS_LEAVING_TRACKER_H_
#define WISTERIAYOKE_DECISIONS_LEAVING_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/gossip_update.h"

namespace wisteriayoke {

/// An upstream reported whether it is leaving. There is no report from an
/// upstream that can't be reached.
struct UpstreamLeavingReport {
  UpstreamName upstream;
  bool leaving = false;
};

/// Entry of one upstream in the platform's list of instances.
struct ListedUpstream {
  UpstreamName upstream;
  bool leaving = false;
};

/// The platform's list of instances was read.
struct InstanceListRead {
  std::uint64_t revision = 0;
  std::vector<ListedUpstream> upstreams;
};

/// A peer reported that it has seen a leaving sign.
struct LeavingUpdateReceived {
  LeavingUpdate update;
};

/// Time has passed; sent every `LeavingTracker::kTickInterval`.
struct LeavingTick {};

using LeavingEvent = std::variant<UpstreamLeavingReport, InstanceListRead,
                                  LeavingUpdateReceived, LeavingTick>;

/// Stop sending new work to `upstream` if `leaving`, else resume.
struct MarkLeaving {
  UpstreamName upstream;
  bool leaving = false;
};

/// Report to the peers that this daemon has seen a leaving sign.
struct AnnounceLeaving {
  UpstreamName upstream;
  /// Revision of the list that has the sign; 0 if the upstream gave it.
  std::uint64_t list_revision = 0;
};

using LeavingAction = std::variant<MarkLeaving, AnnounceLeaving>;

/// Decides which upstreams get no new work because they are leaving.
///
/// A sign from any source marks the upstream. Each sign is withdrawn only by
/// its own source: the upstream's after it has reported for `kReturnTime` that
/// it isn't leaving, the list's by a later revision with an entry that isn't
/// leaving, a peer's by expiry. A peer's sign that comes from the list is
/// ordered by the list's revision, so a peer that reads the list late doesn't
/// renew a sign that a later revision withdrew.
class LeavingTracker {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(200);
  /// How long a sign seen by a peer is valid unless it is renewed.
  static constexpr Duration kPeerSignLifetime = std::chrono::seconds(5);
  /// How often a sign that this daemon sees is reported again to its peers.
  static constexpr Duration kRenewalInterval = std::chrono::seconds(1);
  /// How long all reports of an upstream must say that it isn't leaving before
  /// its sign is withdrawn.
  static constexpr Duration kReturnTime = std::chrono::seconds(2);

  /// Handles one event at `now` and returns the actions to take, in order.
  std::vector<LeavingAction> Handle(const LeavingEvent& event, TimePoint now);

  bool IsLeaving(const UpstreamName& upstream) const;

  /// Returns all upstreams marked as leaving.
  std::vector<UpstreamName> ListLeaving() const;

 private:
  struct Signs {
    bool by_upstream = false;
    bool by_list = false;
    /// First of the latest consecutive reports that it isn't leaving.
    std::optional<TimePoint> staying_since;
    std::optional<TimePoint> by_peer_until;
    /// Revision of the list that the peer's sign comes from, or 0.
    std::uint64_t peer_list_revision = 0;
    std::optional<TimePoint> announced_at;
    bool marked = false;

    bool seen_directly() const { return by_upstream || by_list; }
    /// Whether a sign seen directly holds and isn't being withdrawn.
    bool certain() const { return by_list || (by_upstream && !staying_since); }
  };

  void ApplyUpstreamReport(const UpstreamLeavingReport& report, TimePoint now);
  void ApplyList(const InstanceListRead& list);
  void ApplyPeerUpdate(const LeavingUpdate& update, TimePoint now);
  bool IsOutdated(const UpstreamName& upstream,
                  std::uint64_t list_revision) const;
  void UpdateMark(const UpstreamName& upstream, Signs& signs, TimePoint now,
                  std::vector<LeavingAction>& actions) const;

  std::map<UpstreamName, Signs> signs_;
  std::uint64_t revision_ = 0;             ///< Of the latest list.
  std::set<UpstreamName> listed_staying_;  ///< Not leaving by that list.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LEAVING_TRACKER_H_
