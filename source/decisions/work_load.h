#ifndef WISTERIAYOKE_DECISIONS_WORK_LOAD_H_
#define WISTERIAYOKE_DECISIONS_WORK_LOAD_H_

#include <random>

#include "decisions/layer_path.h"
#include "decisions/output_histogram.h"
#include "decisions/upstream_work.h"

namespace wisteriayoke {

/// Returns the work of a mean request of the peers that is under way, from the
/// `output` of all requests. Long requests are under way for longer, so they
/// count more.
PeerWork DescribePeerWork(double prompt_tokens, const AmountEstimate& output);

/// Returns the load of an upstream with the estimated work `estimate` and room
/// for `capacity`, if a request that may need `need` is added.
///
/// The load is drawn from its uncertainty. Daemons with the same late view
/// would otherwise choose the same upstreams at the same time.
WorkLoad DrawWorkLoad(const WorkEstimate& estimate, double capacity,
                      double need, std::mt19937_64& random);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_WORK_LOAD_H_
