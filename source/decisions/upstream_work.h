#ifndef WISTERIAYOKE_DECISIONS_UPSTREAM_WORK_H_
#define WISTERIAYOKE_DECISIONS_UPSTREAM_WORK_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Work of requests on one upstream: tokens of KV cache, in a layer or over
/// several, or time for plain services.
struct WorkAmount {
  double now = 0;     ///< Occupied now.
  double at_end = 0;  ///< Expected to be occupied at completion.
};

/// Requests of other daemons on one upstream.
struct PeerWork {
  double requests = 0;        ///< Estimated from a sample of the daemons.
  double scale = 1;           ///< Daemons for each that reported.
  WorkAmount each;            ///< Mean of a request under way, per layer.
  double each_deviation = 0;  ///< Deviation of the work of one, per layer.
  double layers = 1;  ///< Layers of the upstream that a request may use.
};

/// Estimated work on an upstream.
struct WorkEstimate {
  double used = 0;       ///< Occupied on average while a new request runs.
  double deviation = 0;  ///< Uncertainty of `used`.
  double excess = 0;     ///< Work beyond `used` that a rejection showed.
};

/// Estimates the work on each upstream from this daemon's own requests, the
/// counts of the peers' requests, and what the upstreams rejected.
class UpstreamWork {
 public:
  /// Most upstreams that are remembered beside those with requests.
  static constexpr std::size_t kMaxIdle = 1024;
  /// Time in which a rejection loses all but 1/e of its effect.
  static constexpr Duration kRejectionLifetime = std::chrono::seconds(10);

  /// Adds a request that runs `layers` layers with `amount` in all of them.
  void Add(const UpstreamName& name, const WorkAmount& amount,
           double layers = 1);
  /// Replaces the amount `former` of a request by `amount`.
  void Change(const UpstreamName& name, const WorkAmount& former,
              const WorkAmount& amount);
  void Remove(const UpstreamName& name, const WorkAmount& amount);

  /// Records that `name`, which has `capacity`, had no room: whatever was
  /// estimated, it was full at `now`. The effect fades.
  void RecordRejection(const UpstreamName& name, double capacity,
                       TimePoint now);

  /// Records that `name` accepted a request, which shows that the estimate was
  /// too high if a rejection had raised it.
  void RecordAcceptance(const UpstreamName& name);

  /// Estimates the work on `name`, with `peers` as known at `now`.
  WorkEstimate Estimate(const UpstreamName& name, const PeerWork& peers,
                        TimePoint now);

  /// Returns the factor on the capacity of upstreams up to which they are
  /// filled by the estimate. It rises while upstreams accept what is sent and
  /// falls with each rejection, so that about one in 100 requests is rejected
  /// where there is more work than room.
  double capacity_factor() const { return capacity_factor_; }

  /// Returns the work of this daemon's own requests on `name`.
  WorkAmount OwnOf(const UpstreamName& name) const;

 private:
  struct State {
    std::uint32_t requests = 0;
    WorkAmount own;
    double mean_layers = 0;    ///< Mean of a request; 0 while unknown.
    double peer_requests = 0;  ///< Moving average.
    TimePoint peers_at;
    double estimated = 0;  ///< Result of the last estimate, without `excess`.
    double excess = 0;     ///< Work beyond the estimate, by a rejection.
    TimePoint excess_at;
  };

  void Prune();

  std::map<UpstreamName, State> states_;
  double capacity_factor_ = 1;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_UPSTREAM_WORK_H_
