#ifndef WISTERIAYOKE_DECISIONS_RELAY_TABLES_H_
#define WISTERIAYOKE_DECISIONS_RELAY_TABLES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/layered_model.h"
#include "decisions/request_rank.h"

namespace wisteriayoke {

/// How the requests of a relayed route may be run.
enum class RelayKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,  ///< Answered by a stream of events; runs once unless resumable.
};

inline constexpr auto kRelayKindNames = MakeNamesTable<RelayKind>({
    {RelayKind::kIdempotent, "idempotent"},
    {RelayKind::kNonIdempotent, "non-idempotent"},
    {RelayKind::kStreaming, "streaming"},
});

/// A pool's share of a route's requests.
struct RouteShare {
  PoolName pool;
  std::uint32_t weight = 1;
};

/// Sends the requests of one host and path prefix to pools.
struct RelayRoute {
  RouteName name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RelayKind kind = RelayKind::kNonIdempotent;
  Duration timeout = std::chrono::seconds(60);
  Duration latency_objective = std::chrono::milliseconds(500);
  /// Longest time between events of a stream that still meets the objective.
  Duration max_event_gap = std::chrono::milliseconds(200);
  std::uint32_t max_attempts = 1;
  bool anonymous = false;  ///< Whether requests without a key are taken.
  bool resumable = false;  ///< Whether another upstream may continue a stream.
  std::vector<RouteShare> pools;
  std::optional<std::uint32_t> priority;  ///< 0 is the most urgent.

  /// Returns whether a request that may have run may be sent again.
  bool repeatable() const {
    return kind == RelayKind::kIdempotent ||
           (kind == RelayKind::kStreaming && resumable);
  }
};

/// A workspace and the keys by which its callers prove that they belong to it.
struct KeyedWorkspace {
  WorkspaceName name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  ///< 0 is the most urgent.
};

/// A pool as the tables describe it. Its upstreams register themselves.
struct RelayPool {
  PoolName name;
  std::optional<LayeredModel> model;  ///< Absent for plain services.
};

/// One version of the contents of the relay's tables.
struct RelaySpec {
  std::uint64_t version = 0;
  std::vector<RelayRoute> routes;
  /// Absent if requests need no keys. An empty list takes all keys away.
  std::optional<std::vector<KeyedWorkspace>> workspaces;
  std::vector<RelayPool> pools;
  std::uint64_t max_body_bytes = 4 * 1024 * 1024;  ///< Per request.
};

/// Immutable contents of the relay's tables with look-up functions.
class RelayTables {
 public:
  explicit RelayTables(RelaySpec spec);

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  const RelayRoute* FindRoute(std::string_view host,
                              std::string_view path) const;

  /// Returns whether requests need keys, except on anonymous routes.
  bool requires_keys() const { return spec_.workspaces.has_value(); }

  /// Returns the workspace that holds `key`, or null. None holds the empty key.
  const KeyedWorkspace* FindWorkspaceOfKey(const std::string& key) const;

  /// Returns the pool called `name`, or null.
  const RelayPool* FindPool(const PoolName& name) const;

  /// Returns whether the requests to `pool` differ in their priorities.
  bool HasRanks(const PoolName& pool) const { return ranks_.contains(pool); }

  /// Returns the rank in `pool` of a request of `route` and `workspace`, which
  /// is null for a caller without a key. Nothing if the pool has no ranks or
  /// the request has no priority.
  std::optional<RequestRank> FindRank(const PoolName& pool,
                                      const RelayRoute& route,
                                      const KeyedWorkspace* workspace) const;

  const RelaySpec& spec() const { return spec_; }

 private:
  void CollectRanks();

  RelaySpec spec_;
  /// Indices of the routes of a host, longer prefixes first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
  std::unordered_map<std::string, std::size_t> by_key_;
  /// Distinct priorities of each pool that has several, in order.
  std::map<PoolName, std::vector<PriorityPair>> ranks_;
};

using RelayTablesPtr = std::shared_ptr<const RelayTables>;

/// Chooses the pool of a request: `draw` is uniform over the sum of the
/// weights. The route must have a pool.
const PoolName& ChoosePool(const RelayRoute& route, std::uint64_t draw);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RELAY_TABLES_H_
