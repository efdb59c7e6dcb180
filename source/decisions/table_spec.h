#ifndef WISTERIAYOKE_DECISIONS_TABLE_SPEC_H_
#define WISTERIAYOKE_DECISIONS_TABLE_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time_types.h"
#include "decisions/layer_range.h"

namespace wisteriayoke {

/// What kind of requests a route or a pool serves.
enum class RouteKind {
  kModel,    ///< Completions by a chain of engines, streamed by token.
  kService,  ///< Plain HTTP calls to an upstream service.
};

inline constexpr auto kRouteKindNames = MakeNamesTable<RouteKind>({
    {RouteKind::kModel, "model"},
    {RouteKind::kService, "service"},
});

/// Order in which waiting requests of one workspace are admitted.
enum class Priority { kHigh, kNormal, kLow };

inline constexpr auto kPriorityNames = MakeNamesTable<Priority>({
    {Priority::kHigh, "high"},
    {Priority::kNormal, "normal"},
    {Priority::kLow, "low"},
});

/// Address of a process: an IP number and a port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// A customer of the operators; `weight` is its share under contention.
struct Workspace {
  WorkspaceName name;
  std::uint32_t weight = 1;
};

/// Sends the requests whose path starts with `path_prefix` to a pool.
struct Route {
  RouteName name;
  std::string path_prefix;
  PoolName pool;
  RouteKind kind = RouteKind::kModel;
  bool idempotent = true;
  Priority priority = Priority::kNormal;
  Duration deadline = std::chrono::seconds(60);
};

/// Which part of its pool's requests an engine runs.
enum class EngineRole {
  kGeneral,  ///< Reads prompts and generates tokens.
  kPrefill,  ///< Only reads prompts.
  kDecode,   ///< Only generates tokens.
};

inline constexpr auto kEngineRoleNames = MakeNamesTable<EngineRole>({
    {EngineRole::kGeneral, "general"},
    {EngineRole::kPrefill, "prefill"},
    {EngineRole::kDecode, "decode"},
});

/// One upstream of a pool, as the operators describe it.
struct UpstreamSpec {
  UpstreamName name;
  Endpoint endpoint;
  DataCentreName data_centre;
  std::string accelerator;
  LayerRange layers;                       ///< Only for engines.
  std::uint32_t slots = 8;                 ///< Maximum concurrent requests.
  EngineRole role = EngineRole::kGeneral;  ///< Only for engines.

  friend bool operator==(const UpstreamSpec&, const UpstreamSpec&) = default;
};

/// Weights and adapters that the daemons order a pool's engines to load.
struct PlacementSpec {
  std::string version;                 ///< Of the model's weights.
  std::vector<std::string> adapters;   ///< Names, in the order of loading.
  std::uint32_t loads_per_minute = 6;  ///< Rate of loads from the weight store.

  friend bool operator==(const PlacementSpec&, const PlacementSpec&) = default;
};

/// Upstreams that are interchangeable (services) or form chains (engines).
struct Pool {
  PoolName name;
  RouteKind kind = RouteKind::kModel;
  std::string model;              ///< Only for engines.
  std::uint32_t layer_count = 0;  ///< Only for engines.
  bool checks_fencing = false;    ///< Whether engines reject stale orders.
  std::optional<PlacementSpec> placement;  ///< Absent: engines get no orders.
  std::vector<UpstreamSpec> upstreams;
};

/// The operators' two tables, linked by pool names, and the workspaces.
struct TableSpec {
  std::vector<Workspace> workspaces;
  std::vector<Route> routes;
  std::vector<Pool> pools;
};

/// Identifies one version of the tables' contents.
struct TableVersion {
  std::uint64_t number = 0;  ///< 0 stands for "no tables".
  std::string hash;          ///< Digest of the content.

  friend bool operator==(const TableVersion&, const TableVersion&) = default;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_TABLE_SPEC_H_
