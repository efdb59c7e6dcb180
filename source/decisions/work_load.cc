#include "decisions/work_load.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace wisteriayoke {
namespace {

/// Sums over the upstreams of a kind; loads are shares of the capacity.
class KindLoad {
 public:
  void Add(const WorkSample& sample) {
    if (sample.capacity <= 0) return;
    const double load = sample.estimate.used / sample.capacity;
    const double deviation = sample.estimate.deviation / sample.capacity;
    ++count_;
    used_ += sample.estimate.used;
    capacity_ += sample.capacity;
    loads_ += load;
    squares_ += load * load;
    noise_ += deviation * deviation;
  }

  /// Returns the estimate of `sample`, moved towards the mean load.
  WorkEstimate Shrink(const WorkSample& sample) const {
    WorkEstimate estimate = sample.estimate;
    if (count_ < kLeastCount) return estimate;
    const double mean = loads_ / count_;
    const double spread =
        std::max(0.0, squares_ / count_ - mean * mean - noise_ / count_);
    const double deviation = estimate.deviation / sample.capacity;
    const double noise = deviation * deviation;
    const double share = noise <= 0 ? 1 : spread / (spread + noise);
    const double center = sample.capacity * used_ / capacity_;
    estimate.used = center + share * (estimate.used - center);
    estimate.deviation *= std::sqrt(share);
    return estimate;
  }

 private:
  /// Fewest upstreams whose differences tell of the noise.
  static constexpr double kLeastCount = 3;

  double count_ = 0;
  double used_ = 0;
  double capacity_ = 0;
  double loads_ = 0;
  double squares_ = 0;
  double noise_ = 0;
};

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

std::vector<WorkLoad> DrawWorkLoads(const std::vector<WorkSample>& samples,
                                    std::mt19937_64& random) {
  std::map<std::string_view, KindLoad> kinds;
  for (const auto& sample : samples) kinds[sample.kind].Add(sample);
  std::normal_distribution<double> noise(0, 1);
  std::vector<WorkLoad> loads;
  for (const auto& sample : samples) {
    if (sample.capacity <= 0) {
      loads.push_back({1, false});
      continue;
    }
    const WorkEstimate estimate = kinds.at(sample.kind).Shrink(sample);
    const double used = estimate.used + estimate.excess;
    const double drawn =
        std::max(0.0, used + estimate.deviation * noise(random));
    loads.push_back({(drawn + sample.need) / sample.capacity,
                     used + sample.need <= sample.capacity});
  }
  return loads;
}

}  // namespace wisteriayoke
