#include "wire/order_codec.h"

#include <doctest/doctest.h>

#include "wire/table_codec.h"

namespace wisteriayoke {

TEST_CASE(
    "orders, engine reports and lease records are unchanged by encoding") {
  const EngineState state{.model = std::string("m"),
                          .version = std::string("v"),
                          .adapters = {"a", "b"},
                          .layers = {1, 3},
                          .role = EngineRole::kDecode};
  LastReason reason;
  const auto order = ParseOrder(EncodeOrder({7, state}), reason);
  REQUIRE(order.has_value());
  CHECK(order->fencing == 7);
  CHECK(order->state == state);
  const auto report =
      ParseEngineReport(EncodeEngineReport({state, true}), reason);
  REQUIRE(report.has_value());
  CHECK(report->state == state);
  CHECK(report->ready);
  const LeaseRecord lease{DaemonName("d"), "t", 9};
  CHECK(ParseLeaseRecord(EncodeLeaseRecord(lease), reason) == lease);
  CHECK_FALSE(ParseOrder("{}", reason).has_value());
}

TEST_CASE("a pool's placement is unchanged by the JSON form of the tables") {
  TableSpec spec;
  spec.pools.emplace_back();
  spec.pools[0].placement = PlacementSpec{std::string("v2"), {"a"}, 3};
  LastReason reason;
  const auto parsed = ParseTableSpec(FormatTableSpec(spec), reason);
  REQUIRE(parsed.has_value());
  CHECK(parsed->pools[0].placement == spec.pools[0].placement);
}

}  // namespace wisteriayoke
