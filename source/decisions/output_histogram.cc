#include "decisions/output_histogram.h"

#include <algorithm>
#include <cmath>

namespace wisteriayoke {
namespace {

/// Ratio of neighboring buckets; the error of an amount stays under a tenth.
constexpr double kBucketRatio = 1.2;
/// Weight of all samples above which older ones lose weight to newer ones.
constexpr double kMaxWeight = 200;
/// Time in which samples lose all but 1/e of their weight.
constexpr double kLifetimeSeconds = 600;
constexpr double kHighQuantile = 0.95;
/// Mean and high amount beyond `at_least`, if no sample exceeds it.
constexpr double kBeyondMean = 1.1;
constexpr double kBeyondHigh = 1.5;

std::size_t BucketOf(double amount) {
  const double index =
      std::round(std::log(std::max(1.0, amount)) / std::log(kBucketRatio));
  return std::min(static_cast<std::size_t>(index),
                  OutputHistogram::kBucketCount - 1);
}

double AmountOf(std::size_t bucket) {
  static const auto kAmounts = [] {
    std::array<double, OutputHistogram::kBucketCount> amounts{};
    for (std::size_t i = 0; i < amounts.size(); ++i) {
      amounts[i] = std::pow(kBucketRatio, static_cast<double>(i));
    }
    return amounts;
  }();
  return kAmounts[bucket];
}

}  // namespace

void OutputHistogram::Add(double amount, TimePoint now) {
  const double aged = WeightAt(now);
  const double kept = std::min(aged, kMaxWeight - 1);
  if (total_ > 0) {
    const auto factor = static_cast<float>(kept / total_);
    for (auto& weight : weights_) weight *= factor;
  }
  weights_[BucketOf(amount)] += 1;
  total_ = kept + 1;
  updated_ = now;
}

double OutputHistogram::WeightAt(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - updated_).count();
  return total_ * std::exp(-std::max(0.0, seconds) / kLifetimeSeconds);
}

void OutputHistogram::AddTo(Shape& mixture, double share) const {
  if (total_ <= 0) return;
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    mixture[i] += weights_[i] * static_cast<float>(share / total_);
  }
}

OutputHistogram::Shape MakeExponentialShape(double mean) {
  OutputHistogram::Shape shape{};
  double below = 0;
  for (std::size_t i = 0; i < shape.size(); ++i) {
    const double end = AmountOf(i) * std::sqrt(kBucketRatio);
    const double until = 1 - std::exp(-end / std::max(1.0, mean));
    shape[i] = static_cast<float>(until - below);
    below = until;
  }
  return shape;
}

AmountEstimate Summarize(const OutputHistogram::Shape& shape, double at_least) {
  double total = 0;
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < shape.size(); ++i) {
    const double amount = AmountOf(i);
    if (amount <= at_least) continue;
    total += shape[i];
    sum += shape[i] * amount;
    squares += shape[i] * amount * amount;
  }
  if (total <= 0) {
    const double mean = kBeyondMean * std::max(1.0, at_least);
    const double high = kBeyondHigh * std::max(1.0, at_least);
    return {mean, high - mean, high};
  }
  AmountEstimate estimate;
  estimate.mean = sum / total;
  estimate.deviation =
      std::sqrt(std::max(0.0, squares / total - estimate.mean * estimate.mean));
  double left = (1 - kHighQuantile) * total;
  for (std::size_t i = shape.size(); i-- > 0;) {
    estimate.high = AmountOf(i);
    left -= shape[i];
    if (left < 0) break;
  }
  return estimate;
}

}  // namespace wisteriayoke
