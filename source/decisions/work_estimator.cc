#include "decisions/work_estimator.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

constexpr double kSampleShare = 0.02;

}  // namespace

ExpectedWork WorkEstimator::Estimate(std::uint32_t max_tokens) {
  const double tokens = std::max(1U, max_tokens);
  if (typical_ <= 0.0) typical_ = tokens;
  const double factor = tokens / typical_;
  const bool is_long = factor >= kLongFactor;
  // A long request counts as one that is just short, so that a few of them
  // don't move the border.
  const double sample = std::min(tokens, typical_ * kLongFactor);
  typical_ += (sample - typical_) *
              (is_long ? kSampleShare / kLongFactor : kSampleShare);
  return {factor, is_long ? WorkSize::kLong : WorkSize::kShort};
}

}  // namespace wisteriayoke
