#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_PATH_SEARCH_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_PATH_SEARCH_H_

#include <optional>
#include <set>

#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/ranked_wait.h"
#include "supervisor/relay/relay_target.h"
#include "supervisor/relay/relayed_request.h"

namespace wisteriayoke {

/// Searches targets for the attempts of one request, and decides whether it
/// waits while there is none. `request` must outlive the search.
class PathSearch {
 public:
  PathSearch(DaemonContext context, const RelayedRequest& request,
             TimePoint arrived)
      : context_(context),
        request_(request),
        arrived_(arrived),
        ranked_(context, request, arrived) {}

  /// Never chooses `upstream` again, since it failed this request.
  void Exclude(const UpstreamName& upstream) { failed_.insert(upstream); }

  /// Chooses `upstream` only if there is no other target, since it may have
  /// stalled this request.
  void Avoid(const UpstreamName& upstream) { stalled_.insert(upstream); }

  /// Handles that `upstream` had no room for the request. While a request whose
  /// answer has begun waits, it may have room again.
  void HandleRejection(const UpstreamName& upstream, bool begun) {
    (begun ? stalled_ : failed_).insert(upstream);
  }

  /// Searches a target. A request that had one before doesn't queue for it, and
  /// one whose answer has begun may use the reserve.
  TargetChoice Search(bool first, bool begun);

  /// Whether the search leaves out upstreams that others may use.
  bool is_restricted() const { return !failed_.empty() || !stalled_.empty(); }

  /// Returns whether there is a target without the excluded upstreams, those to
  /// avoid and `others`, so that a stalled attempt may be left. A search in
  /// vain holds for a while for larger sets as well, so that frequent calls are
  /// cheap.
  bool HasTargetWithout(const std::set<UpstreamName>& others, bool begun);

  /// Returns whether a request that found no target for `code` waits. A caller
  /// that has a part of its answer loses more by the end of the stream than by
  /// a pause, and decides itself how long it stays. Another request waits if it
  /// can still be answered in time.
  bool MayWait(ResultCode code, bool begun);

  /// Returns whether a request that waits should search again.
  bool IsDue(bool begun) const;

  /// Ends the wait, if there is one.
  void StopWaiting();

  /// The wait of a request whose pool has ranks.
  RankedWait& ranked() { return ranked_; }
  const RankedWait& ranked() const { return ranked_; }

 private:
  /// A search that found no target without `avoided`.
  struct VainSearch {
    std::set<UpstreamName> avoided;
    TimePoint at;
  };

  PlaceQueue& Places() const;
  double RoomShare(bool begun) const;
  bool MaySearch(const RelayPool& pool, bool first, TimePoint now);
  void RecordStart(const RelayPool& pool, TimePoint now);
  bool IsKnownVain(const std::set<UpstreamName>& avoided) const;
  TargetChoice Choose(const RelayPool& pool, double room_share) const;
  TargetChoice ChooseWithout(const RelayPool& pool,
                             const std::set<UpstreamName>& excluded,
                             double tokens, TargetSearchKind kind,
                             double room_share = 1.0) const;

  DaemonContext context_;
  const RelayedRequest& request_;
  TimePoint arrived_;
  std::set<UpstreamName> failed_;
  std::set<UpstreamName> stalled_;
  std::optional<VainSearch> vain_;  ///< The last search in vain for a stall.
  TimePoint searched_at_;           ///< When the last search took place.
  bool queued_ = false;  ///< Whether it is counted in the pool's queue.
  RankedWait ranked_;
  bool searched_ = false;  ///< Whether the last call searched all upstreams.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_PATH_SEARCH_H_
