#include "decisions/relay_tables.h"

#include <doctest/doctest.h>

#include <map>

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

}  // namespace wisteriayoke
