#ifndef WISTERIAYOKE_DECISIONS_WORK_ESTIMATOR_H_
#define WISTERIAYOKE_DECISIONS_WORK_ESTIMATOR_H_

#include <cstdint>

#include "decisions/admission.h"

namespace wisteriayoke {

/// Estimated work of a request.
struct ExpectedWork {
  double cost = 1.0;  ///< In units of a typical request.
  WorkSize size = WorkSize::kShort;
};

/// Classifies requests as long or short by the tokens that they request,
/// compared with a moving average over the pool's requests.
class WorkEstimator {
 public:
  /// A request for this many times the typical tokens or more is long.
  static constexpr double kLongFactor = 8.0;

  /// Estimates a request for `max_tokens` and adds it to the average.
  ExpectedWork Estimate(std::uint32_t max_tokens);

 private:
  double typical_tokens_ = 0.0;  ///< Average of tokens; 0 while unknown.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_WORK_ESTIMATOR_H_
