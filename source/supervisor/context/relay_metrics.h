#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_METRICS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/result_code.h"
#include "decisions/request_rank.h"

namespace wisteriayoke {

/// Kinds of calls to the platform's store.
enum class StoreCallKind { kRead, kFollow, kWrite };

inline constexpr auto kStoreCallKindNames = MakeNamesTable<StoreCallKind>({
    {StoreCallKind::kRead, "read"},
    {StoreCallKind::kFollow, "follow"},
    {StoreCallKind::kWrite, "write"},
});

/// Why a target is searched among the upstreams of a pool.
enum class TargetSearchKind {
  kAttempt,  ///< For an attempt that is to be sent.
  kStall,    ///< For a stalled attempt, to know whether it may be left.
};

inline constexpr auto kTargetSearchKindNames =
    MakeNamesTable<TargetSearchKind>({{TargetSearchKind::kAttempt, "attempt"},
                                      {TargetSearchKind::kStall, "stall"}});

/// What is counted of ranked requests.
enum class RankEvent {
  kWaiting,    ///< Began to wait for a place.
  kRefused,    ///< Refused, since none was expected in time.
  kDisplaced,  ///< Refused in favour of a more urgent one.
  kInverted,   ///< Started while a more urgent one waited.
};

inline constexpr auto kRankEventNames = MakeNamesTable<RankEvent>({
    {RankEvent::kWaiting, "waiting"},
    {RankEvent::kRefused, "refused"},
    {RankEvent::kDisplaced, "displaced"},
    {RankEvent::kInverted, "inverted"},
});

/// Counts the relay's answers by route and pool, its searches and its calls to
/// the store.
/// Names come from the operator's tables, which may hold thousands of routes,
/// so the number of series is bounded. No decision depends on the counts.
class RelayMetrics {
 public:
  /// Most pairs of route and pool that are counted by name; all others are
  /// counted together. With a dozen result codes each, a page stays under 1 MB.
  static constexpr std::size_t kMaxRoutePools = 200;

  /// Counts a request of `route` for `pool` that was answered with `code`.
  void CountAnswer(const RouteName& route, const PoolName& pool,
                   ResultCode code);

  /// Counts `event` for a request of `route` and `rank`; the least urgent ranks
  /// are counted together.
  void CountRank(const RouteName& route, RequestRank rank, RankEvent event);

  /// Counts a call to the store that ended with `code`.
  void CountStoreCall(StoreCallKind kind, ResultCode code);

  /// Counts a search of a target for `kind`; each goes over all upstreams of a
  /// pool.
  void CountTargetSearch(TargetSearchKind kind) { ++target_searches_[kind]; }

  /// Adds a finished request of `pool` that was expected to have `expected`
  /// output tokens and had `actual`.
  void RecordOutput(const PoolName& pool, double expected, double actual);

  /// Returns the number of searches for `kind`.
  std::uint64_t CountOf(TargetSearchKind kind) const;

  /// Returns all counts in the Prometheus text format.
  std::string Render() const;

 private:
  /// Labels of a route and its pool.
  using RouteAndPool = std::pair<std::string, std::string>;

  /// Sums over the finished requests of a pool, in tokens.
  struct OutputSums {
    double expected = 0;
    double actual = 0;
    double error = 0;  ///< Of the absolute differences.
  };

  std::map<std::string, OutputSums> outputs_;  ///< By pool.
  std::map<RouteAndPool, std::map<ResultCode, std::uint64_t>> answers_;
  std::map<std::pair<StoreCallKind, ResultCode>, std::uint64_t> store_calls_;
  std::map<TargetSearchKind, std::uint64_t> target_searches_;
  /// By route and urgency.
  std::map<std::pair<std::string, std::uint32_t>,
           std::map<RankEvent, std::uint64_t>>
      rank_events_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_RELAY_METRICS_H_
