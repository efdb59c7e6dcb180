#ifndef WISTERIAYOKE_DECISIONS_WORK_LOAD_H_
#define WISTERIAYOKE_DECISIONS_WORK_LOAD_H_

#include <random>
#include <string_view>
#include <vector>

#include "decisions/layer_path.h"
#include "decisions/output_histogram.h"
#include "decisions/upstream_work.h"

namespace wisteriayoke {

/// Returns the work of a mean request of the peers that is under way, from the
/// `output` of all requests. Long requests are under way for longer, so they
/// count more.
PeerWork DescribePeerWork(double prompt_tokens, const AmountEstimate& output);

/// An upstream whose load is to be estimated.
struct WorkSample {
  WorkEstimate estimate;
  double capacity = 0;
  double need = 0;        ///< What a new request may need.
  std::string_view kind;  ///< Upstreams of one kind are loaded alike.
};

/// Returns the loads of upstreams with a new request.
///
/// The work of an upstream is moved towards the mean of its kind, by as much as
/// the differences between them are noise of the peers' counts: otherwise those
/// whose work is underestimated would be chosen. The loads are then drawn from
/// what uncertainty is left. Daemons with the same late view would otherwise
/// choose the same upstreams at the same time.
std::vector<WorkLoad> DrawWorkLoads(const std::vector<WorkSample>& samples,
                                    std::mt19937_64& random);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_WORK_LOAD_H_
