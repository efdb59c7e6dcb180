#ifndef WISTERIAYOKE_DECISIONS_WORK_ESTIMATOR_H_
#define WISTERIAYOKE_DECISIONS_WORK_ESTIMATOR_H_

#include <cstdint>

#include "decisions/admission.h"

namespace wisteriayoke {

/// Work that a request is expected to be.
struct ExpectedWork {
  double cost = 1.0;  ///< In units of a typical request.
  WorkSize size = WorkSize::kShort;
};

/// Tells long requests from short ones by the tokens that they ask for, against
/// a moving average of what the pool's requests ask for.
class WorkEstimator {
 public:
  /// A request that asks for this many times the typical tokens is long.
  static constexpr double kLongFactor = 8.0;

  /// Estimates a request for `max_tokens` and takes it into the average.
  ExpectedWork Estimate(std::uint32_t max_tokens);

 private:
  double typical_ = 0.0;  ///< Tokens; 0 while unknown.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_WORK_ESTIMATOR_H_
