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
  Duration compute{};  ///< Running its layers.
  Duration link{};     ///< To the next stage and back, without its work.

  friend bool operator==(const StageTiming&, const StageTiming&) = default;
};

/// Keeps the measured speed of engines, of kinds of accelerators and of links
/// between data centres, as moving averages.
///
/// The speeds come from the tokens themselves, so operators need not state
/// them, and a link that degrades costs more from its next tokens on.
class ChainSpeeds {
 public:
  void RecordCompute(const UpstreamSpec& upstream, Duration time);
  void RecordLink(const DataCentreName& from, const DataCentreName& to,
                  Duration time);

  /// Returns the time that `upstream` takes for its layers of one token; for
  /// one not measured yet, what its accelerator takes for as many layers.
  Duration ComputeTimeOf(const UpstreamSpec& upstream) const;

  /// Returns the time of the link there and back.
  Duration LinkTimeOf(const DataCentreName& from,
                      const DataCentreName& to) const;

  /// Forgets the upstreams that `pools` no longer name.
  void Retain(const std::vector<Pool>& pools);

 private:
  using Link = std::pair<DataCentreName, DataCentreName>;

  static Link MakeLink(const DataCentreName& from, const DataCentreName& to);

  std::map<UpstreamName, double> compute_us_;
  std::map<std::string, double> layer_us_;  ///< By kind of accelerator.
  std::map<Link, double> link_us_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_CHAIN_SPEEDS_H_
