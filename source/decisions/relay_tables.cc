#include "decisions/relay_tables.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wisteriayoke {

RelayTables::RelayTables(RelaySpec spec) : spec_(std::move(spec)) {
  for (std::size_t i = 0; i < spec_.routes.size(); ++i) {
    by_host_[spec_.routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : by_host_) {
    std::stable_sort(indices.begin(), indices.end(),
                     [this](std::size_t a, std::size_t b) {
                       return spec_.routes[a].path_prefix.size() >
                              spec_.routes[b].path_prefix.size();
                     });
  }
  for (std::size_t i = 0; requires_keys() && i < spec_.workspaces->size();
       ++i) {
    for (const auto& key : (*spec_.workspaces)[i].keys) by_key_[key] = i;
  }
  // Callers without a key would be in the workspace.
  by_key_.erase("");
  CollectRanks();
}

void RelayTables::CollectRanks() {
  std::set<std::optional<std::uint32_t>> of_workspaces;
  if (requires_keys()) {
    for (const auto& workspace : *spec_.workspaces) {
      of_workspaces.insert(workspace.priority);
    }
  }
  std::map<PoolName, std::set<PriorityPair>> pairs;
  std::set<PoolName> with_unprioritized;
  for (const auto& route : spec_.routes) {
    auto priorities = of_workspaces;
    if (route.anonymous || !requires_keys()) priorities.insert(std::nullopt);
    for (const auto& priority : priorities) {
      const auto pair = CombinePriorities(priority, route.priority);
      for (const auto& share : route.pools) {
        if (pair) {
          pairs[share.pool].insert(*pair);
        } else {
          with_unprioritized.insert(share.pool);
        }
      }
    }
  }
  for (const auto& [pool, distinct] : pairs) {
    if (distinct.size() + with_unprioritized.count(pool) < 2) continue;
    ranks_[pool].assign(distinct.begin(), distinct.end());
  }
}

std::optional<RequestRank> RelayTables::FindRank(
    const PoolName& pool, const RelayRoute& route,
    const KeyedWorkspace* workspace) const {
  const auto ranks = ranks_.find(pool);
  const auto pair = CombinePriorities(
      workspace == nullptr ? std::nullopt : workspace->priority,
      route.priority);
  if (ranks == ranks_.end() || !pair) return std::nullopt;
  const auto place =
      std::lower_bound(ranks->second.begin(), ranks->second.end(), *pair);
  return RequestRank{static_cast<std::uint32_t>(place - ranks->second.begin())};
}

const RelayRoute* RelayTables::FindRoute(std::string_view host,
                                         std::string_view path) const {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) return nullptr;
  for (const std::size_t i : found->second) {
    if (path.starts_with(spec_.routes[i].path_prefix)) return &spec_.routes[i];
  }
  return nullptr;
}

const KeyedWorkspace* RelayTables::FindWorkspaceOfKey(
    const std::string& key) const {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return nullptr;
  return &(*spec_.workspaces)[found->second];
}

const RelayPool* RelayTables::FindPool(const PoolName& name) const {
  for (const auto& pool : spec_.pools) {
    if (pool.name == name) return &pool;
  }
  return nullptr;
}

const PoolName& ChoosePool(const RelayRoute& route, std::uint64_t draw) {
  std::uint64_t total = 0;
  for (const auto& share : route.pools) total += share.weight;
  draw %= std::max<std::uint64_t>(1, total);
  for (const auto& share : route.pools) {
    if (draw < share.weight) return share.pool;
    draw -= share.weight;
  }
  return route.pools.front().pool;
}

}  // namespace wisteriayoke
