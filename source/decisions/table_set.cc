#include "decisions/table_set.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace wisteriayoke {
namespace {

bool Reject(LastReason& reason, std::string message) {
  reason.Set(ResultCode::kTableInvalid, std::move(message));
  return false;
}

std::string Quote(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

/// Checks that no two of `entries` have the same name and that none is empty.
template <typename Entry>
bool CheckNames(const std::vector<Entry>& entries, std::string_view table,
                LastReason& reason) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const std::string& name = entries[i].name.text();
    const std::string where =
        std::string(table) + "[" + std::to_string(i) + "] " + Quote(name);
    if (name.empty()) return Reject(reason, where + ": give it a name.");
    if (!seen.insert(name).second) {
      return Reject(reason, where + ": the name is taken; choose another.");
    }
  }
  return true;
}

bool CheckPlacement(const Pool& pool, const std::string& where,
                    LastReason& reason) {
  if (!pool.placement) return true;
  if (pool.kind != RouteKind::kModel) {
    return Reject(reason,
                  where + ": only pools of engines take \"placement\".");
  }
  if (pool.placement->version.empty()) {
    return Reject(reason, where + ": set \"version\" in \"placement\".");
  }
  if (pool.placement->loads_per_minute == 0) {
    return Reject(reason, where + ": \"loads_per_minute\" must be positive.");
  }
  return true;
}

bool CheckPool(const Pool& pool, LastReason& reason) {
  const std::string where = "pool " + Quote(pool.name.text());
  if (!CheckNames(pool.upstreams, where + " upstreams", reason)) return false;
  if (!CheckPlacement(pool, where, reason)) return false;
  if (pool.kind != RouteKind::kModel) return true;
  if (pool.layer_count == 0) {
    return Reject(reason, where + ": set \"layers\" to the model's layers.");
  }
  for (const auto& upstream : pool.upstreams) {
    const LayerRange& layers = upstream.layers;
    if (layers.first < layers.end && layers.end <= pool.layer_count) continue;
    return Reject(reason, where + " upstream " + Quote(upstream.name.text()) +
                              ": its layer range must lie in [0, " +
                              std::to_string(pool.layer_count) + ").");
  }
  return true;
}

bool CheckRoute(const Route& route, const TableSet& tables,
                LastReason& reason) {
  const std::string where = "route " + Quote(route.name.text());
  if (!route.path_prefix.starts_with('/')) {
    return Reject(reason, where + ": \"prefix\" must start with \"/\".");
  }
  const Pool* pool = tables.FindPool(route.pool);
  if (pool == nullptr) {
    return Reject(reason, where + ": there is no pool " +
                              Quote(route.pool.text()) +
                              "; add it or name another.");
  }
  if (pool->kind != route.kind) {
    return Reject(reason, where + ": its kind differs from the kind of pool " +
                              Quote(route.pool.text()) + ".");
  }
  if (route.deadline <= Duration::zero()) {
    return Reject(reason, where + ": \"deadline_ms\" must be positive.");
  }
  return true;
}

bool CheckPrefixes(const std::vector<Route>& routes, LastReason& reason) {
  std::set<std::string_view> seen;
  for (const auto& route : routes) {
    if (seen.insert(route.path_prefix).second) continue;
    return Reject(reason, "route " + Quote(route.name.text()) +
                              ": another route has the prefix " +
                              Quote(route.path_prefix) + ".");
  }
  return true;
}

template <typename Entry, typename Name>
const Entry* FindByName(const std::vector<Entry>& entries, const Name& name) {
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [&name](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

std::optional<TableSet> TableSet::Create(TableSpec spec, LastReason& reason) {
  TableSet tables(std::move(spec));
  const TableSpec& checked = tables.spec_;
  if (!CheckNames(checked.workspaces, "workspaces", reason) ||
      !CheckNames(checked.routes, "routes", reason) ||
      !CheckNames(checked.pools, "pools", reason) ||
      !CheckPrefixes(checked.routes, reason)) {
    return std::nullopt;
  }
  for (const auto& pool : checked.pools) {
    if (!CheckPool(pool, reason)) return std::nullopt;
  }
  for (const auto& route : checked.routes) {
    if (!CheckRoute(route, tables, reason)) return std::nullopt;
  }
  return tables;
}

const Route* TableSet::FindRoute(std::string_view path) const {
  const Route* best = nullptr;
  for (const auto& route : spec_.routes) {
    if (!path.starts_with(route.path_prefix)) continue;
    if (best == nullptr ||
        route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best;
}

const Pool* TableSet::FindPool(const PoolName& name) const {
  return FindByName(spec_.pools, name);
}

const Workspace* TableSet::FindWorkspace(const WorkspaceName& name) const {
  return FindByName(spec_.workspaces, name);
}

std::size_t TableSet::CountUpstreams() const {
  std::size_t count = 0;
  for (const auto& pool : spec_.pools) count += pool.upstreams.size();
  return count;
}

}  // namespace wisteriayoke
