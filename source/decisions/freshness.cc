#include "decisions/freshness.h"

#include <algorithm>

namespace wisteriayoke {

void Freshness::RecordProof(BootTime proven) {
  proven_ = proven_ ? std::max(*proven_, proven) : proven;
}

std::optional<Duration> Freshness::AgeAt(BootTime now) const {
  if (!proven_) return std::nullopt;
  return now - *proven_;
}

bool Freshness::AllowsKeys(BootTime now) const {
  const auto age = AgeAt(now);
  return age && *age < limits_.revocation - limits_.margin;
}

bool Freshness::HasMargin(BootTime now) const {
  const auto age = AgeAt(now);
  return age && *age < limits_.revocation / 2;
}

}  // namespace wisteriayoke
