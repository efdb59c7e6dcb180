#include "decisions/store_follow_policy.h"

#include <bit>

namespace wisteriayoke {
namespace {

constexpr Duration::rep kMille = 1000;
/// Age of a proof, in thousandths of the revocation time, at which a daemon
/// behind the followers calls the store itself, and what is added for each
/// doubling of the rank. The sum stays under half, up to which a daemon reports
/// itself ready.
constexpr Duration::rep kFallbackPerMille = 430;
constexpr Duration::rep kFallbackStepPerMille = 7;

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
                                       std::optional<Duration> proof_age,
                                       bool last_waited) {
  const bool old = proof_age && *proof_age >= usual / 4;
  return old && last_waited ? Duration::zero() : usual;
}

bool StoreFollowPolicy::MustFollow(const StoreFollowInputs& inputs) const {
  if (!inputs.proof_age) return true;
  return inputs.rank < CountFollowers(inputs.group_size) ||
         *inputs.proof_age >= FallbackAge(inputs.rank);
}

}  // namespace wisteriayoke
