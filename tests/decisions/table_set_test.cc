#include "decisions/table_set.h"

#include <doctest/doctest.h>

#include <utility>

namespace wisteriayoke {
namespace {

TableSpec MakeSpec() {
  TableSpec spec;
  spec.workspaces.push_back({WorkspaceName("volta"), 1});
  Pool pool;
  pool.name = PoolName("booking");
  pool.kind = RouteKind::kService;
  spec.pools.push_back(pool);
  Route route;
  route.name = RouteName("holds");
  route.path_prefix = "/booking/";
  route.pool = PoolName("booking");
  route.kind = RouteKind::kService;
  spec.routes.push_back(route);
  return spec;
}

}  // namespace

TEST_CASE(
    "tables with a route to a missing pool are invalid; the error names both") {
  TableSpec spec = MakeSpec();
  spec.routes[0].pool = PoolName("bookings");
  LastReason reason;
  CHECK_FALSE(TableSet::Create(std::move(spec), reason).has_value());
  CHECK(reason.code() == ResultCode::kTableInvalid);
  CHECK(reason.message().find("\"holds\"") != std::string::npos);
  CHECK(reason.message().find("\"bookings\"") != std::string::npos);
}

TEST_CASE("the longest matching prefix wins") {
  TableSpec spec = MakeSpec();
  Route longer = spec.routes[0];
  longer.name = RouteName("seats");
  longer.path_prefix = "/booking/seats";
  spec.routes.push_back(longer);
  LastReason reason;
  const auto tables = TableSet::Create(std::move(spec), reason);
  REQUIRE(tables.has_value());
  CHECK(tables->FindRoute("/booking/seats/1")->name == RouteName("seats"));
  CHECK(tables->FindRoute("/booking/holds")->name == RouteName("holds"));
  CHECK(tables->FindRoute("/other") == nullptr);
}

TEST_CASE("tables with two entries of the same name are invalid") {
  TableSpec spec = MakeSpec();
  spec.workspaces.push_back(spec.workspaces[0]);
  LastReason reason;
  CHECK_FALSE(TableSet::Create(std::move(spec), reason).has_value());
  CHECK(reason.code() == ResultCode::kTableInvalid);
}

}  // namespace wisteriayoke
