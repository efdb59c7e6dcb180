#include "decisions/work_estimator.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

constexpr double kSampleWeight = 0.02;

}  // namespace

ExpectedWork WorkEstimator::Estimate(std::uint32_t max_tokens) {
  const double tokens = std::max(1U, max_tokens);
  if (typical_tokens_ <= 0.0) typical_tokens_ = tokens;
  const double factor = tokens / typical_tokens_;
  const bool is_long = factor >= kLongFactor;
  // A long request is averaged as if it were at the threshold, so that a few of
  // them don't move the threshold.
  const double sample = std::min(tokens, typical_tokens_ * kLongFactor);
  typical_tokens_ += (sample - typical_tokens_) *
                     (is_long ? kSampleWeight / kLongFactor : kSampleWeight);
  return {factor, is_long ? WorkSize::kLong : WorkSize::kShort};
}

}  // namespace wisteriayoke
