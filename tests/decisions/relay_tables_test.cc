#include "decisions/relay_tables.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>

namespace wisteriayoke {
namespace {

RelayRoute MakeRoute(const std::string& name, const std::string& host,
                     const std::string& prefix) {
  RelayRoute route{RouteName(name), host, prefix};
  route.pools = {{PoolName("p"), 1}};
  return route;
}

RelayTables MakeTables() {
  RelaySpec spec;
  spec.routes = {MakeRoute("all", "a.example", "/"),
                 MakeRoute("deep", "a.example", "/x/y/"),
                 MakeRoute("mid", "a.example", "/x/"),
                 MakeRoute("other", "b.example", "/x/")};
  spec.workspaces = {{WorkspaceName("volta"), {"k1", "k2"}},
                     {WorkspaceName("sul"), {"k3"}}};
  return RelayTables(spec);
}

}  // namespace

TEST_CASE("the longest prefix of the host selects the route") {
  const RelayTables tables = MakeTables();
  const auto name = [&tables](const char* host, const char* path) {
    const RelayRoute* route = tables.FindRoute(host, path);
    return route == nullptr ? "" : route->name.text();
  };
  CHECK(name("a.example", "/x/y/z") == "deep");
  CHECK(name("a.example", "/x/z") == "mid");
  CHECK(name("a.example", "/xy") == "all");
  CHECK(name("b.example", "/x/y/z") == "other");
  CHECK(name("b.example", "/").empty());
  CHECK(name("c.example", "/x/").empty());
}

TEST_CASE("a key belongs to one workspace") {
  const RelayTables tables = MakeTables();
  CHECK(tables.FindWorkspaceOfKey("k2")->name == WorkspaceName("volta"));
  CHECK(tables.FindWorkspaceOfKey("k3")->name == WorkspaceName("sul"));
  CHECK(tables.FindWorkspaceOfKey("") == nullptr);
  CHECK(tables.FindWorkspaceOfKey("k4") == nullptr);
}

TEST_CASE("a split route divides its requests by weight") {
  RelayRoute route = MakeRoute("r", "a.example", "/");
  route.pools = {{PoolName("new"), 10}, {PoolName("old"), 90}};
  std::map<PoolName, int> counts;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    ++counts[ChoosePool(route, draw)];
  }
  CHECK(counts[PoolName("new")] == 100);
  CHECK(counts[PoolName("old")] == 900);
}

TEST_CASE("a pool of weight 0 gets nothing") {
  RelayRoute route = MakeRoute("r", "a.example", "/");
  route.pools = {{PoolName("off"), 0}, {PoolName("on"), 5}};
  for (std::uint64_t draw = 0; draw < 20; ++draw) {
    CHECK(ChoosePool(route, draw) == PoolName("on"));
  }
}

namespace {

/// Tables with two streaming routes to pool "p" and two workspaces.
RelayTables MakeRanked(std::optional<std::uint32_t> first_route,
                       std::optional<std::uint32_t> second_route,
                       std::optional<std::uint32_t> first_workspace,
                       std::optional<std::uint32_t> second_workspace) {
  RelaySpec spec;
  spec.routes = {MakeRoute("a", "h", "/a/"), MakeRoute("b", "h", "/b/")};
  spec.routes[0].priority = first_route;
  spec.routes[1].priority = second_route;
  spec.workspaces = {{WorkspaceName("volta"), {"k1"}, first_workspace},
                     {WorkspaceName("sul"), {"k2"}, second_workspace}};
  return RelayTables(spec);
}

std::optional<RequestRank> RankOf(const RelayTables& tables, const char* path,
                                  const char* key) {
  return tables.FindRank(PoolName("p"), *tables.FindRoute("h", path),
                         tables.FindWorkspaceOfKey(key));
}

}  // namespace

// Guards against an order in which a route outweighs its workspace, and against
// gaps in the numbers that upstreams get.
TEST_CASE("a pool's distinct priorities give dense ranks, workspaces first") {
  const RelayTables tables = MakeRanked(0, 20, 1, 0);
  CHECK(RankOf(tables, "/a/", "k2") == RequestRank{0});
  CHECK(RankOf(tables, "/b/", "k2") == RequestRank{1});
  CHECK(RankOf(tables, "/a/", "k1") == RequestRank{2});
  CHECK(RankOf(tables, "/b/", "k1") == RequestRank{3});
  CHECK(RequestRank{12}.urgency() == RequestRank::kMaxUrgency);
}

TEST_CASE("an absent priority is replaced by the other, none gives no rank") {
  const RelayTables tables = MakeRanked(0, std::nullopt, 2, std::nullopt);
  CHECK(RankOf(tables, "/a/", "k2") == RequestRank{0});
  CHECK(RankOf(tables, "/a/", "k1") == RequestRank{1});
  CHECK(RankOf(tables, "/b/", "k1") == RequestRank{2});
  CHECK_FALSE(RankOf(tables, "/b/", "k2").has_value());
}

// Guards against an urgent route that counts like one without a priority.
TEST_CASE("one priority beside requests without any gives a rank") {
  const RelayTables tables =
      MakeRanked(0, std::nullopt, std::nullopt, std::nullopt);
  CHECK(RankOf(tables, "/a/", "k1") == RequestRank{0});
  CHECK_FALSE(RankOf(tables, "/b/", "k1").has_value());
}

// Guards against changed decisions on deployments whose priorities are all
// equal or absent.
TEST_CASE("a pool with one distinct priority has no ranks") {
  for (const auto& tables :
       {MakeRanked(1, 1, 1, 1), MakeRanked(3, 3, std::nullopt, std::nullopt),
        MakeTables()}) {
    CHECK_FALSE(tables.HasRanks(PoolName("p")));
  }
  CHECK_FALSE(RankOf(MakeRanked(1, 1, 1, 1), "/a/", "k1").has_value());
}

}  // namespace wisteriayoke
