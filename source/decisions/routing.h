#ifndef WISTERIAYOKE_DECISIONS_ROUTING_H_
#define WISTERIAYOKE_DECISIONS_ROUTING_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

#include "base/names_table.h"
#include "decisions/upstream_tracker.h"

namespace wisteriayoke {

/// One upstream that may get a request, with what is known about it.
struct RoutingCandidate {
  const UpstreamSpec* upstream = nullptr;
  std::uint32_t slots = 0;          ///< Slots that may be used now.
  std::uint32_t own_in_flight = 0;  ///< This daemon's requests.
  std::uint32_t in_flight = 0;      ///< Estimate for all daemons.
  std::uint32_t reported = 0;       ///< As the upstream last said.
  Duration latency = Duration::zero();
};

/// What a request asks of the choice.
struct RoutingRequest {
  /// Hash of the start of the prompt, for the engines' prefix caches.
  std::optional<std::uint64_t> prefix_hash;
  /// Live daemons that share the upstreams.
  std::uint32_t daemons = 1;
  /// Whether to stay in the daemon's own share of an upstream's slots, for
  /// work that holds its slot for long.
  bool keep_to_share = false;
};

/// Lists `usable` with the load and speed that `book` knows. An upstream
/// without a latency of its own gets that of its accelerator kind.
std::vector<RoutingCandidate> BuildCandidates(
    const std::vector<const UpstreamSpec*>& usable,
    const UpstreamTracker& tracker, const PeerLoads& peer_loads, TimePoint now);

/// Baseline: each upstream in turn.
struct RoundRobin {
  std::size_t next = 0;
};

/// Baseline: the upstream that last reported the least load.
struct LeastReported {};

/// The cheaper of two random upstreams with free slots, by in-flight count and
/// latency. Each daemon fills its own share of an upstream's slots first, so
/// that daemons that don't coordinate don't collide; prompts with one prefix
/// go to one upstream while its load stays near the average.
struct TwoChoices {};

using RoutingPolicy = std::variant<TwoChoices, RoundRobin, LeastReported>;

/// Names the alternatives of `RoutingPolicy`.
enum class RoutingKind { kTwoChoices, kRoundRobin, kLeastReported };

inline constexpr auto kRoutingKindNames = MakeNamesTable<RoutingKind>({
    {RoutingKind::kTwoChoices, "two-choices"},
    {RoutingKind::kRoundRobin, "round-robin"},
    {RoutingKind::kLeastReported, "least-reported"},
});

/// Returns a fresh policy of `kind`.
RoutingPolicy MakeRoutingPolicy(RoutingKind kind);

/// Returns the index of the candidate for `request`, or nothing if there is
/// none.
std::optional<std::size_t> ChooseUpstream(
    RoutingPolicy& policy, const std::vector<RoutingCandidate>& candidates,
    const RoutingRequest& request, std::mt19937_64& random);

/// Hashes the first `kPrefixBytes` of `prompt`, alike on every daemon.
std::uint64_t HashPrefix(std::string_view prompt);

/// Length of the part of a prompt that decides its affinity.
inline constexpr std::size_t kPrefixBytes = 256;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_ROUTING_H_
