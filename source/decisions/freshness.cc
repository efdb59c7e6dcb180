#include "decisions/freshness.h"

namespace wisteriayoke {

bool Freshness::RecordProof(BootTime proven) {
  if (proven_ && proven <= *proven_) return false;
  proven_ = proven;
  return true;
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
