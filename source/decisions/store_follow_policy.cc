#include "decisions/store_follow_policy.h"

#include <bit>

namespace wisteriayoke {
namespace {

constexpr Duration::rep kMille = 1000;
/// Age of a proof, in thousandths of the revocation time, at which a daemon
/// behind the followers calls the store itself, and what is added for each
/// doubling of the rank. The sum stays under the age at which keys are refused.
constexpr Duration::rep kFallbackPerMille = 300;
constexpr Duration::rep kFallbackStepPerMille = 40;
/// Time for which it then goes on, in thousandths of the revocation time.
constexpr Duration::rep kFallbackTimePerMille = 40;

}  // namespace

std::size_t CountFollowers(std::size_t group_size) {
  return group_size <= StoreFollowPolicy::kSmallGroup
             ? StoreFollowPolicy::kFollowersOfSmallGroup
             : StoreFollowPolicy::kFollowers;
}

Duration StoreFollowPolicy::FallbackAge(std::size_t rank) const {
  const auto doublings = static_cast<Duration::rep>(std::bit_width(rank));
  return revocation_ * (kFallbackPerMille + kFallbackStepPerMille * doublings) /
         kMille;
}

Duration StoreFollowPolicy::ChooseWait(Duration usual,
                                       std::optional<Duration> proof_age) {
  return proof_age && *proof_age < usual / 2 ? usual : Duration::zero();
}

bool StoreFollowPolicy::MustFollow(const StoreFollowInputs& inputs,
                                   TimePoint now) {
  const bool may_find_group = inputs.group_size <= 1 && !inputs.proof_age;
  if (may_find_group && now - start_ < kJoinTime) return false;
  if (inputs.rank < CountFollowers(inputs.group_size)) return true;
  if (fallback_until_ && now < *fallback_until_) return true;
  const Duration age = inputs.proof_age.value_or(now - start_);
  if (age < FallbackAge(inputs.rank)) return false;
  fallback_until_ = now + revocation_ * kFallbackTimePerMille / kMille;
  return true;
}

}  // namespace wisteriayoke
