#include "decisions/concurrency_limit.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

constexpr Duration kAdjustmentInterval = std::chrono::milliseconds(100);
/// Ratio of the recent latency to the best above which the upstreams queue.
constexpr double kLatencyTolerance = 3.0;
constexpr Duration kLatencySlack = std::chrono::milliseconds(50);
constexpr double kDecrease = 0.9;
constexpr double kIncreaseShare = 0.02;
constexpr double kSampleWeight = 0.05;
/// Part by which the best latency rises at each adjustment, so that an old
/// minimum is forgotten.
constexpr double kBestDrift = 0.001;
constexpr double kInUseShare = 0.9;

Duration Scale(Duration value, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(value.count()) * factor));
}

}  // namespace

void ConcurrencyLimit::SetCeiling(std::uint32_t slots) {
  const double share = ceiling_ > 0.0 ? limit_ / ceiling_ : 1.0;
  ceiling_ = slots;
  limit_ = ceiling_ * share;
}

void ConcurrencyLimit::RecordLatency(Duration latency, std::uint32_t running,
                                     TimePoint now) {
  if (best_ == Duration::zero() || latency < best_) best_ = latency;
  recent_ = recent_ == Duration::zero()
                ? latency
                : recent_ + Scale(latency - recent_, kSampleWeight);
  if (next_adjustment_ && now < *next_adjustment_) return;
  next_adjustment_ = now + kAdjustmentInterval;
  Adjust(running);
}

void ConcurrencyLimit::Adjust(std::uint32_t running) {
  if (recent_ > Scale(best_, kLatencyTolerance) + kLatencySlack) {
    limit_ = std::max(limit_ * kDecrease, ceiling_ * kFloorShare);
  } else if (running >= limit_ * kInUseShare) {
    limit_ =
        std::min(limit_ + std::max(1.0, limit_ * kIncreaseShare), ceiling_);
  }
  best_ += Scale(best_, kBestDrift);
}

std::uint32_t ConcurrencyLimit::limit() const {
  if (ceiling_ < 1.0) return 0;
  return std::max(1U, static_cast<std::uint32_t>(limit_));
}

}  // namespace wisteriayoke
