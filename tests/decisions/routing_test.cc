#include "decisions/routing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint64_t kSeed = 7;

std::vector<UpstreamSpec> MakeUpstreams(std::size_t count) {
  std::vector<UpstreamSpec> upstreams(count);
  for (std::size_t i = 0; i < count; ++i) {
    upstreams[i].name = UpstreamName("u" + std::to_string(i));
  }
  return upstreams;
}

std::vector<RoutingCandidate> MakeCandidates(
    const std::vector<UpstreamSpec>& upstreams) {
  std::vector<RoutingCandidate> candidates;
  for (const auto& upstream : upstreams) {
    RoutingCandidate candidate;
    candidate.upstream = &upstream;
    candidate.slots = kSlots;
    candidates.push_back(candidate);
  }
  return candidates;
}

}  // namespace

TEST_CASE("two choices never pick a full upstream while another is free") {
  CHECK(rc::check("free slots first", [] {
    const auto loads =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 2 * kSlots)));
    const auto upstreams = MakeUpstreams(loads.size());
    auto candidates = MakeCandidates(upstreams);
    bool any_free = false;
    for (std::size_t i = 0; i < loads.size(); ++i) {
      candidates[i].in_flight = loads[i];
      candidates[i].own_in_flight = *rc::gen::inRange(0U, loads[i] + 1);
      any_free = any_free || loads[i] < kSlots;
    }
    RoutingRequest request;
    request.daemons = *rc::gen::inRange(1U, 5U);
    if (*rc::gen::arbitrary<bool>()) request.prefix_hash = 42;
    RoutingPolicy policy = TwoChoices{};
    std::mt19937_64 random(kSeed);
    const auto choice = ChooseUpstream(policy, candidates, request, random);
    RC_ASSERT(choice.has_value());
    RC_ASSERT(!any_free || loads[*choice] < kSlots);
  }));
}

TEST_CASE("one prefix goes to one upstream until its load passes the bound") {
  const auto upstreams = MakeUpstreams(5);
  auto candidates = MakeCandidates(upstreams);
  RoutingPolicy policy = TwoChoices{};
  std::mt19937_64 random(kSeed);
  const RoutingRequest request{.prefix_hash = HashPrefix("a long prompt")};
  const auto first = ChooseUpstream(policy, candidates, request, random);
  CHECK(ChooseUpstream(policy, candidates, request, random) == first);
  for (auto& candidate : candidates) candidate.in_flight = 1;
  candidates[*first].in_flight = kSlots - 1;
  CHECK(ChooseUpstream(policy, candidates, request, random) != first);
}

TEST_CASE("when an upstream is removed, only its own prefixes move") {
  CHECK(rc::check("rendezvous", [] {
    const auto upstreams = MakeUpstreams(6);
    const auto all = MakeCandidates(upstreams);
    RoutingPolicy policy = TwoChoices{};
    std::mt19937_64 random(kSeed);
    const RoutingRequest request{.prefix_hash =
                                     *rc::gen::arbitrary<std::uint64_t>()};
    const std::size_t before = *ChooseUpstream(policy, all, request, random);
    const auto gone = *rc::gen::inRange<std::size_t>(0, all.size());
    auto rest = all;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(gone));
    const std::size_t after = *ChooseUpstream(policy, rest, request, random);
    if (before != gone) {
      RC_ASSERT(rest[after].upstream == all[before].upstream);
    }
  }));
}

TEST_CASE("of two accelerator kinds the faster by measurement is preferred") {
  auto upstreams = MakeUpstreams(4);
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    upstreams[i].accelerator = i < 2 ? "a" : "b";
  }
  UpstreamTracker tracker;
  tracker.RecordSuccess(upstreams[0].name, std::chrono::milliseconds(10), {});
  tracker.RecordSuccess(upstreams[2].name, std::chrono::milliseconds(30), {});
  std::vector<const UpstreamSpec*> usable;
  usable.reserve(upstreams.size());
  for (const auto& upstream : upstreams) usable.push_back(&upstream);
  const auto candidates = BuildCandidates(usable, tracker, {}, {});
  CHECK(candidates[1].latency == std::chrono::milliseconds(10));
  CHECK(candidates[3].latency == std::chrono::milliseconds(30));
  RoutingPolicy policy = TwoChoices{};
  std::mt19937_64 random(kSeed);
  int fast = 0;
  constexpr int kDraws = 400;
  for (int i = 0; i < kDraws; ++i) {
    if (*ChooseUpstream(policy, candidates, {}, random) < 2) ++fast;
  }
  CHECK(fast > kDraws * 6 / 10);
}

}  // namespace wisteriayoke
