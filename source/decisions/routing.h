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

/// One upstream that may get a request, with its load and speed.
struct RoutingCandidate {
  const UpstreamSpec* upstream = nullptr;
  std::uint32_t slots = 0;          ///< Slots that may be used now.
  std::uint32_t own_in_flight = 0;  ///< This daemon's requests.
  std::uint32_t in_flight = 0;      ///< Estimate for all daemons.
  std::uint32_t reported = 0;       ///< As last reported by the upstream.
  Duration latency = Duration::zero();
  /// Expected work in usual requests; takes the place of `in_flight` in the
  /// load, if it is known.
  std::optional<double> work;
};

/// Properties of a request that affect the choice.
struct RoutingRequest {
  /// Hash of the start of the prompt, for the engines' prefix caches.
  std::optional<std::uint64_t> prefix_hash;
  /// Number of live daemons that share the upstreams.
  std::uint32_t daemons = 1;
  /// Whether to stay within the daemon's own share of an upstream's slots, for
  /// work that holds its slot for long.
  bool keep_to_share = false;
};

/// Returns `usable` with the load and speed of each upstream. An upstream whose
/// latency isn't measured yet gets the highest of its accelerator kind.
std::vector<RoutingCandidate> BuildCandidates(
    const std::vector<const UpstreamSpec*>& usable,
    const UpstreamTracker& tracker, const PeerLoads& peer_loads, TimePoint now);

/// Baseline: all upstreams in turn.
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

/// Identifies the alternatives of `RoutingPolicy`.
enum class RoutingKind { kTwoChoices, kRoundRobin, kLeastReported };

inline constexpr auto kRoutingKindNames = MakeNamesTable<RoutingKind>({
    {RoutingKind::kTwoChoices, "two-choices"},
    {RoutingKind::kRoundRobin, "round-robin"},
    {RoutingKind::kLeastReported, "least-reported"},
});

/// Returns a new policy of `kind`.
RoutingPolicy MakeRoutingPolicy(RoutingKind kind);

/// Returns the index of the candidate for `request`, or nothing if there is
/// none.
std::optional<std::size_t> ChooseUpstream(
    RoutingPolicy& policy, const std::vector<RoutingCandidate>& candidates,
    const RoutingRequest& request, std::mt19937_64& random);

/// Returns a hash of the first `kPrefixBytes` of `prompt`, the same on every
/// daemon.
std::uint64_t HashPrefix(std::string_view prompt);

/// Length of the prefix of a prompt that decides its upstream.
inline constexpr std::size_t kPrefixBytes = 256;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_ROUTING_H_
