#include "decisions/routing.h"

#include <algorithm>
#include <map>
#include <string>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

using Candidates = std::vector<RoutingCandidate>;
using Indices = std::vector<std::size_t>;

/// Multiple of the average load up to which an upstream keeps its prefixes.
constexpr double kAffinityLoadBound = 1.25;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = kFnvOffset ^ seed;
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return hash ^ (hash >> 29);
}

double LoadOf(const RoutingCandidate& candidate) {
  const auto requests = static_cast<double>(candidate.in_flight);
  return candidate.work.value_or(requests) / std::max(1U, candidate.slots);
}

/// Returns the expected time to serve one more request, in microseconds.
double CostOf(const RoutingCandidate& candidate) {
  const auto latency = static_cast<double>(
      std::max<Duration::rep>(1, candidate.latency.count()));
  return latency * (1.0 + LoadOf(candidate));
}

template <typename Predicate>
Indices Select(const Candidates& candidates, Predicate predicate) {
  Indices selected;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (predicate(candidates[i])) selected.push_back(i);
  }
  return selected;
}

/// Returns the candidates of the first class that isn't empty: a free slot in
/// the daemon's own share, any free slot, the own share, all. With
/// `keep_to_share` the own share comes before any free slot.
Indices SelectOpen(const Candidates& candidates,
                   const RoutingRequest& request) {
  const auto in_share = [daemons = request.daemons](
                            const RoutingCandidate& candidate) {
    return candidate.own_in_flight * std::max(1U, daemons) < candidate.slots;
  };
  const auto is_free = [](const RoutingCandidate& candidate) {
    return candidate.in_flight < candidate.slots;
  };
  Indices open = Select(candidates, [&](const RoutingCandidate& candidate) {
    return in_share(candidate) && is_free(candidate);
  });
  if (open.empty() && request.keep_to_share) {
    open = Select(candidates, in_share);
  }
  if (open.empty()) open = Select(candidates, is_free);
  if (open.empty()) open = Select(candidates, in_share);
  if (open.empty()) open = Select(candidates, [](const auto&) { return true; });
  return open;
}

/// Chooses by rendezvous hashing: the highest weight among the candidates up to
/// the load bound, or the first candidate if all exceed it.
std::size_t ChooseByPrefix(const Candidates& candidates, const Indices& open,
                           std::uint64_t prefix_hash) {
  double total = 0.0;
  for (const auto& candidate : candidates) total += LoadOf(candidate);
  const double bound = kAffinityLoadBound * (total + 1.0) /
                       static_cast<double>(candidates.size());
  std::optional<std::size_t> best;
  std::uint64_t best_weight = 0;
  for (const std::size_t i : open) {
    if (LoadOf(candidates[i]) > bound) continue;
    const std::uint64_t weight =
        Hash(candidates[i].upstream->name.text(), prefix_hash);
    if (best && weight <= best_weight) continue;
    best = i;
    best_weight = weight;
  }
  return best.value_or(open.front());
}

std::size_t ChooseOfTwo(const Candidates& candidates, const Indices& open,
                        std::mt19937_64& random) {
  std::uniform_int_distribution<std::size_t> pick(0, open.size() - 1);
  const std::size_t first = open[pick(random)];
  const std::size_t second = open[pick(random)];
  return CostOf(candidates[second]) < CostOf(candidates[first]) ? second
                                                                : first;
}

std::size_t ChooseLeastReported(const Candidates& candidates) {
  const auto least = std::min_element(
      candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return a.reported * std::max(1U, b.slots) <
               b.reported * std::max(1U, a.slots);
      });
  return static_cast<std::size_t>(least - candidates.begin());
}

}  // namespace

std::vector<RoutingCandidate> BuildCandidates(
    const std::vector<const UpstreamSpec*>& usable,
    const UpstreamTracker& tracker, const PeerLoads& peer_loads,
    TimePoint now) {
  Candidates candidates;
  std::map<std::string_view, Duration> latency_of_kind;
  for (const auto* upstream : usable) {
    const UpstreamState& state = tracker.StateOf(upstream->name);
    candidates.push_back(
        {.upstream = upstream,
         .slots = tracker.CountSlots(*upstream, now),
         .own_in_flight = state.in_flight,
         .in_flight = tracker.CountInFlight(upstream->name, peer_loads),
         .reported = state.report ? state.report->in_flight : 0,
         .latency = state.latency});
    Duration& known = latency_of_kind[upstream->accelerator];
    known = std::max(known, state.latency);
  }
  for (auto& candidate : candidates) {
    if (candidate.latency > Duration::zero()) continue;
    candidate.latency = latency_of_kind[candidate.upstream->accelerator];
  }
  return candidates;
}

RoutingPolicy MakeRoutingPolicy(RoutingKind kind) {
  switch (kind) {
    case RoutingKind::kRoundRobin:
      return RoundRobin{};
    case RoutingKind::kLeastReported:
      return LeastReported{};
    case RoutingKind::kTwoChoices:
      break;
  }
  return TwoChoices{};
}

std::optional<std::size_t> ChooseUpstream(
    RoutingPolicy& policy, const std::vector<RoutingCandidate>& candidates,
    const RoutingRequest& request, std::mt19937_64& random) {
  if (candidates.empty()) return std::nullopt;
  return std::visit(
      Overloaded{
          [&](RoundRobin& turn) { return turn.next++ % candidates.size(); },
          [&](const LeastReported&) { return ChooseLeastReported(candidates); },
          [&](const TwoChoices&) {
            const Indices open = SelectOpen(candidates, request);
            if (request.prefix_hash) {
              return ChooseByPrefix(candidates, open, *request.prefix_hash);
            }
            return ChooseOfTwo(candidates, open, random);
          },
      },
      policy);
}

std::uint64_t HashPrefix(std::string_view prompt) {
  return Hash(prompt.substr(0, kPrefixBytes), 0);
}

}  // namespace wisteriayoke
