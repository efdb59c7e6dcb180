#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "supervisor/store_follower/store_follower.h"
#include "support/fake_row_store_server.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after an outage from which a leaving upstream must be known in time.
constexpr Duration kStableAfter = seconds(3);
/// Time within which it must be known.
constexpr Duration kLeavingBound = seconds(2);
/// The daemons start one after the other, so that the outage meets the waits of
/// their feeds at phases that are this far apart.
constexpr Duration kPhase = milliseconds(500);
constexpr std::size_t kDaemons = 10;

std::string MakeEntry(const std::string& state) {
  return R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a","Slots":6,
             "State":")" +
         state + R"(","born":1})";
}

/// A group of daemons that all follow one store.
struct OutageFixture : DaemonFixture {
  struct Daemon {
    DaemonState state;
    std::shared_ptr<StoreFollower> follower;
  };

  FakeRowStoreServer store{loop};
  std::vector<std::unique_ptr<Daemon>> daemons;

  OutageFixture() {
    store.Put("op", "config",
              R"({"Version":3,"Routes":[],"Services":[{"Name":"s"}]})");
    for (const char* name : {"draining", "removed", "expired"}) {
      store.Put("servers", name, MakeEntry("ready"));
    }
  }
  ~OutageFixture() {
    for (const auto& daemon : daemons) daemon->follower->Stop([] {});
  }

  void RunFor(Duration time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      const TimePoint next = std::min(end, loop.Now() + seconds(1));
      RunUntil([&] { return loop.Now() >= next; });
    }
  }

  void StartDaemons() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      auto daemon = std::make_unique<Daemon>();
      daemon->follower = std::make_shared<StoreFollower>(
          DaemonContext{loop, settings, daemon->state},
          [] { return std::shared_ptr<PeerLink>(); }, [](const LastReason&) {});
      LastReason reason;
      REQUIRE(daemon->follower->Start(reason));
      daemons.push_back(std::move(daemon));
      RunFor(kPhase);
    }
  }

  /// Returns how many daemons may send work to the upstream `name`.
  std::ptrdiff_t CountUsers(const char* name) const {
    return std::count_if(
        daemons.begin(), daemons.end(), [name](const auto& daemon) {
          const auto available =
              daemon->state.relay.fleet.ListAvailable(PoolName("s"));
          return std::any_of(available.begin(), available.end(),
                             [name](const FleetEntry* entry) {
                               return entry->upstream.name.text() == name;
                             });
        });
  }

  /// Lets one upstream drain and removes the entry of another; returns how many
  /// daemons use them after the time within which all must know.
  std::ptrdiff_t CountUsersOfLeaving() {
    store.Put("servers", "draining", MakeEntry("draining"));
    store.Drop("servers", "removed");
    RunFor(kLeavingBound);
    return CountUsers("draining") + CountUsers("removed");
  }
};

}  // namespace

// Guards against work for an upstream that left soon after an outage of the
// store, while the feed of the entries still waited for a call that was lost.
TEST_CASE_FIXTURE(OutageFixture,
                  "after an outage of the store leaving upstreams are known in "
                  "time at each phase of the feed's wait") {
  Duration outage{};
  SUBCASE("shorter than any wait") { outage = milliseconds(600); }
  SUBCASE("longer than the waits") { outage = milliseconds(6400); }
  StartDaemons();
  REQUIRE(CountUsers("removed") == kDaemons);
  store.set_fault(StoreFault::kSilent);
  RunFor(outage);
  store.set_fault(StoreFault::kNone);
  RunFor(kStableAfter);
  CHECK(CountUsersOfLeaving() == 0);
}

// Guards against the same where the store is fine and one call alone is lost.
TEST_CASE_FIXTURE(OutageFixture,
                  "a lost call for the entries delays leaving upstreams no "
                  "longer than an outage") {
  StartDaemons();
  store.LoseWaiting("servers");
  RunFor(kStableAfter);
  CHECK(CountUsersOfLeaving() == 0);
}

// Guards against the loss of a live upstream whose entry expired in an outage.
TEST_CASE_FIXTURE(OutageFixture,
                  "an entry that expired in an outage is kept until its "
                  "upstream registers again") {
  StartDaemons();
  store.set_fault(StoreFault::kSilent);
  RunFor(seconds(4));
  store.Drop("servers", "expired");
  store.set_fault(StoreFault::kNone);
  const TimePoint registered = loop.Now() + milliseconds(1500);
  std::ptrdiff_t fewest = kDaemons;
  RunUntil([&] {
    fewest = std::min(fewest, CountUsers("expired"));
    return loop.Now() >= registered;
  });
  CHECK(fewest == kDaemons);
  store.Put("servers", "expired", MakeEntry("ready"));
  RunFor(seconds(4));
  CHECK(CountUsers("expired") == kDaemons);
}

}  // namespace wisteriayoke
