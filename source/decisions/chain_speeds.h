#ifndef WISTERIAYOKE_DECISIONS_CHAIN_SPEEDS_H_
#define WISTERIAYOKE_DECISIONS_CHAIN_SPEEDS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Times that one stage of a chain reports for one token.
struct StageTiming {
  Duration compute{};  ///< Time to run its layers.
  Duration link{};  ///< Round trip to the next stage without that stage's work.

  friend bool operator==(const StageTiming&, const StageTiming&) = default;
};

/// Keeps moving averages of the measured times of engines, accelerator kinds
/// and links between data centres.
///
/// The times are measured on the requests' tokens, so operators need not
/// configure them, and a degraded link costs more from its next tokens on.
class ChainSpeeds {
 public:
  void RecordCompute(const UpstreamSpec& upstream, Duration time);
  void RecordLink(const DataCentreName& from, const DataCentreName& to,
                  Duration time);

  /// Returns the time that `upstream` takes for its layers of one token; if it
  /// isn't measured yet, the average of its accelerator kind for as many
  /// layers.
  Duration ComputeTimeOf(const UpstreamSpec& upstream) const;

  /// Returns the round-trip time of the link; a default if it isn't measured.
  Duration LinkTimeOf(const DataCentreName& from,
                      const DataCentreName& to) const;

  /// Removes the upstreams that `pools` no longer list.
  void Retain(const std::vector<Pool>& pools);

 private:
  using Link = std::pair<DataCentreName, DataCentreName>;

  static Link MakeLink(const DataCentreName& from, const DataCentreName& to);

  std::map<UpstreamName, double> compute_us_;
  std::map<std::string, double> layer_us_;  ///< By accelerator kind.
  std::map<Link, double> link_us_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_CHAIN_SPEEDS_H_
