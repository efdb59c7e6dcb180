#include "decisions/store_follow_policy.h"

#include <algorithm>
#include <bit>

namespace wisteriayoke {
namespace {

constexpr Duration::rep kMille = 1000;
/// Age of a proof, in thousandths of the revocation time, at which a daemon
/// behind the followers calls the store itself: in a small group, and what is
/// added for each doubling of the group, in which proofs spread more slowly, up
/// to a limit.
constexpr Duration::rep kFallbackPerMille = 320;
constexpr Duration::rep kFallbackSizeStepPerMille = 28;
constexpr Duration::rep kMaxFallbackPerMille = 430;
/// What is added for each doubling of the rank. The sum stays under half, up to
/// which a daemon reports itself ready.
constexpr Duration::rep kFallbackStepPerMille = 7;

}  // namespace

std::size_t CountFollowers(std::size_t group_size) {
  return group_size <= StoreFollowPolicy::kSmallGroup
             ? StoreFollowPolicy::kFollowersOfSmallGroup
             : StoreFollowPolicy::kFollowers;
}

Duration StoreFollowPolicy::FallbackAge(std::size_t rank,
                                        std::size_t group_size) const {
  const auto doublings_of = [](std::size_t count) {
    return static_cast<Duration::rep>(std::bit_width(count));
  };
  const Duration::rep by_size =
      std::min(kFallbackPerMille + kFallbackSizeStepPerMille *
                                       doublings_of(group_size / kSmallGroup),
               kMaxFallbackPerMille);
  return revocation_ * (by_size + kFallbackStepPerMille * doublings_of(rank)) /
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
         *inputs.proof_age >= FallbackAge(inputs.rank, inputs.group_size);
}

}  // namespace wisteriayoke
