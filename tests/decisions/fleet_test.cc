#include "decisions/fleet.h"

#include <doctest/doctest.h>

namespace wisteriayoke {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

FleetEntry MakeEntry(const std::string& name) {
  return {.upstream = {.name = UpstreamName(name)}, .pool = PoolName("p")};
}

/// Records an outage of the store that ended at `end`.
void RecordOutage(Fleet& fleet, TimePoint end) {
  fleet.RecordStoreAge(Fleet::kShortestOutage, end);
  fleet.RecordStoreAge(Duration(), end);
}

}  // namespace

TEST_CASE("each change of an entry is classified") {
  Fleet fleet;
  FleetEntry entry = MakeEntry("a");
  CHECK(fleet.Apply(entry) == FleetChange::kJoined);
  CHECK(fleet.Apply(entry) == FleetChange::kNone);
  entry.upstream.layers = {0, 8};
  CHECK(fleet.Apply(entry) == FleetChange::kChanged);
  entry.draining = true;
  CHECK(fleet.Apply(entry) == FleetChange::kDraining);
  entry.started_ms = 7;
  entry.draining = false;
  CHECK(fleet.Apply(entry) == FleetChange::kRestarted);
}

TEST_CASE(
    "an upstream that announced its leaving takes no work until it starts "
    "anew") {
  Fleet fleet;
  FleetEntry entry = MakeEntry("a");
  entry.started_ms = 5;
  fleet.Apply(entry);
  CHECK(fleet.RecordLeaving(UpstreamName("a"), 5, At(0)));
  CHECK_FALSE(fleet.RecordLeaving(UpstreamName("a"), 5, At(1)));
  CHECK(fleet.ListAvailable(PoolName("p")).empty());
  // The entry lapses during an outage of the store and returns.
  CHECK(fleet.Remove(UpstreamName("a"), At(2)));
  fleet.Apply(entry);
  CHECK(fleet.ListAvailable(PoolName("p")).empty());
  entry.started_ms = 9;
  fleet.Apply(entry);
  CHECK(fleet.ListAvailable(PoolName("p")).size() == 1);
  // Late word of the run before.
  CHECK(fleet.RecordLeaving(UpstreamName("a"), 5, At(3)) == false);
  CHECK(fleet.ListAvailable(PoolName("p")).size() == 1);
}

TEST_CASE("a peer's word of a leaving run may come before its entry") {
  Fleet fleet;
  CHECK(fleet.RecordLeaving(UpstreamName("a"), 5, At(0)));
  FleetEntry entry = MakeEntry("a");
  entry.started_ms = 5;
  fleet.Apply(entry);
  CHECK(fleet.ListAvailable(PoolName("p")).empty());
  fleet.Remove(UpstreamName("a"), At(1));
  fleet.Expire(At(1) + Fleet::kLeavingRetention);
  fleet.Apply(entry);
  CHECK(fleet.ListAvailable(PoolName("p")).size() == 1);
}

TEST_CASE("a draining upstream takes no new work") {
  Fleet fleet;
  FleetEntry entry = MakeEntry("a");
  fleet.Apply(entry);
  CHECK(fleet.ListAvailable(PoolName("p")).size() == 1);
  entry.draining = true;
  fleet.Apply(entry);
  CHECK(fleet.ListAvailable(PoolName("p")).empty());
  CHECK(fleet.Find(UpstreamName("a")) != nullptr);
}

TEST_CASE("an entry removed while the store is reachable is removed at once") {
  Fleet fleet;
  fleet.Apply(MakeEntry("a"));
  CHECK(fleet.Remove(UpstreamName("a"), At(0)));
  CHECK(fleet.Find(UpstreamName("a")) == nullptr);
}

TEST_CASE(
    "an entry missing after an outage is kept until it had time to register") {
  Fleet fleet;
  fleet.Apply(MakeEntry("a"));
  fleet.Apply(MakeEntry("b"));
  RecordOutage(fleet, At(1000));
  CHECK_FALSE(fleet.Remove(UpstreamName("a"), At(1010)));
  CHECK_FALSE(fleet.Remove(UpstreamName("b"), At(1010)));
  CHECK(fleet.ListAvailable(PoolName("p")).size() == 2);
  CHECK(fleet.Apply(MakeEntry("a")) == FleetChange::kNone);
  CHECK(fleet.Expire(At(2700)).empty());
  const auto gone = fleet.Expire(At(2900));
  REQUIRE(gone.size() == 1);
  CHECK(gone.front() == UpstreamName("b"));
  CHECK(fleet.Find(UpstreamName("a")) != nullptr);
}

// Guards against work for an upstream that left well after an outage: an entry
// may be missing for a while from the store's return, not from its removal.
TEST_CASE("an entry removed late after an outage isn't kept beyond its time") {
  Fleet fleet;
  fleet.Apply(MakeEntry("a"));
  RecordOutage(fleet, At(1000));
  CHECK_FALSE(fleet.Remove(UpstreamName("a"), At(2700)));
  CHECK(fleet.Expire(At(2799)).empty());
  CHECK(fleet.Expire(At(2800)).size() == 1);
}

TEST_CASE("an entry is kept for as long as the store is out of reach") {
  Fleet fleet;
  fleet.Apply(MakeEntry("a"));
  SUBCASE("it never answered") { fleet.RecordStoreAge(std::nullopt, At(0)); }
  SUBCASE("it stopped") { fleet.RecordStoreAge(Fleet::kShortestOutage, At(0)); }
  CHECK_FALSE(fleet.Remove(UpstreamName("a"), At(10)));
  CHECK(fleet.Expire(At(60'000)).empty());
  // It answered 300 ms before this daemon learned of it.
  fleet.RecordStoreAge(std::chrono::milliseconds(300), At(60'000));
  CHECK(fleet.Expire(At(61'499)).empty());
  CHECK(fleet.Expire(At(61'500)).size() == 1);
}

TEST_CASE("a pause in which no entry can expire is no outage") {
  Fleet fleet;
  fleet.Apply(MakeEntry("a"));
  fleet.RecordStoreAge(Fleet::kShortestOutage - Duration(1), At(1000));
  fleet.RecordStoreAge(Duration(), At(1000));
  CHECK(fleet.Remove(UpstreamName("a"), At(1001)));
}

TEST_CASE("a draining upstream isn't kept after an outage") {
  Fleet fleet;
  FleetEntry entry = MakeEntry("a");
  entry.draining = true;
  fleet.Apply(entry);
  RecordOutage(fleet, At(1000));
  CHECK(fleet.Remove(UpstreamName("a"), At(1010)));
}

}  // namespace wisteriayoke
