#ifndef WISTERIAYOKE_DECISIONS_OUTPUT_HISTOGRAM_H_
#define WISTERIAYOKE_DECISIONS_OUTPUT_HISTOGRAM_H_

#include <array>
#include <cstddef>

#include "base/time_types.h"

namespace wisteriayoke {

/// Mean, deviation and high quantile of an amount.
struct AmountEstimate {
  double mean = 0;
  double deviation = 0;
  double high = 0;  ///< The 0.95 quantile.
};

/// Histogram of amounts from 1 to about 20,000, in buckets of equal ratio. Old
/// samples lose weight, by newer ones and by time.
class OutputHistogram {
 public:
  static constexpr std::size_t kBucketCount = 56;
  /// Weights of the buckets.
  using Shape = std::array<float, kBucketCount>;

  /// Adds `amount`, observed at `now`.
  void Add(double amount, TimePoint now);

  /// Returns the weight of all samples at `now`, in recent samples.
  double WeightAt(TimePoint now) const;

  /// Adds the relative weights of the buckets times `share` to `mixture`.
  void AddTo(Shape& mixture, double share) const;

  /// When the last sample was added.
  TimePoint updated() const { return updated_; }

 private:
  Shape weights_{};
  double total_ = 0;
  TimePoint updated_;
};

/// Returns an exponential distribution with about `mean`.
OutputHistogram::Shape MakeExponentialShape(double mean);

/// Describes the amounts of `shape` that exceed `at_least`. Without any, the
/// amount is assumed to be a little more than that.
AmountEstimate Summarize(const OutputHistogram::Shape& shape, double at_least);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_OUTPUT_HISTOGRAM_H_
