#include "decisions/work_load.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Part of the uncertainty by which the load is varied.
constexpr double kNoiseFactor = 1.0;
/// Part of the uncertainty that is kept free.
constexpr double kMarginFactor = 0.0;

}  // namespace

PeerWork DescribePeerWork(double prompt_tokens, const AmountEstimate& output) {
  PeerWork work;
  const double mean = std::max(1.0, output.mean);
  const double under_way =
      (mean * mean + output.deviation * output.deviation) / mean;
  work.each = {prompt_tokens + under_way / 2, prompt_tokens + under_way};
  work.each_deviation = output.deviation;
  return work;
}

WorkLoad DrawWorkLoad(const WorkEstimate& estimate, double capacity,
                      double need, std::mt19937_64& random) {
  if (capacity <= 0) return {1, false};
  std::normal_distribution<double> noise(0, kNoiseFactor);
  const double drawn =
      std::max(0.0, estimate.used + estimate.deviation * noise(random));
  const double bound =
      estimate.used + kMarginFactor * estimate.deviation + need;
  return {(drawn + need) / capacity, bound <= capacity};
}

}  // namespace wisteriayoke
