#include "decisions/peer_loads.h"

#include <doctest/doctest.h>

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;

const UpstreamName kEngine("engine1");

}  // namespace

TEST_CASE("counts of a silent daemon are gone within a second") {
  PeerLoads loads;
  const TimePoint start;
  loads.Record({DaemonName("a"), kEngine, 3}, start);
  loads.Record({DaemonName("b"), kEngine, 4}, start + milliseconds(500));
  CHECK(loads.InFlightOf(kEngine, start + milliseconds(700)) == 7);
  CHECK(loads.InFlightOf(kEngine, start + milliseconds(1000)) == 4);
  loads.Expire(start + milliseconds(1000));
  CHECK(loads.CountDaemons() == 1);
}

TEST_CASE("a renewed count replaces the former one") {
  PeerLoads loads;
  loads.Record({DaemonName("a"), kEngine, 3}, TimePoint{});
  loads.Record({DaemonName("a"), kEngine, 1}, TimePoint{});
  CHECK(loads.InFlightOf(kEngine, TimePoint{}) == 1);
  loads.Drop(DaemonName("a"));
  CHECK(loads.InFlightOf(kEngine, TimePoint{}) == 0);
}

}  // namespace wisteriayoke
