#include <doctest/doctest.h>

#include <utility>

#include "store_follower/follower_fixture.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;

/// Bound on the time until a change is in force.
constexpr Duration kApplyBound = milliseconds(2000);
/// Time between two writes of an upstream's entry.
constexpr Duration kHeartbeat = milliseconds(1200);
/// Many times what a follower needs in that time: one in each wait of 750 ms
/// and two for each change.
constexpr int kMostCalls = 20;

/// A follower of a store that can return to an older copy.
struct ReturnFixture : FollowerFixture {
  void RunFor(Duration time) {
    const TimePoint end = loop.Now() + time;
    RunUntil([&] { return loop.Now() >= end; });
  }

  /// Writes rows that no daemon reads, as other programs do.
  void WriteOthers() {
    for (int i = 0; i < 20; ++i) store.Put("others", "row", std::to_string(i));
  }

  /// Writes what the copy has, and then what is lost when the store returns.
  void WriteBeforeReturn() {
    store.Put("op", "config", MakeDocument(3, "k1"));
    store.Put("servers", "i-1", MakeEntry("ready"));
    Start();
    RunUntil([this] { return Version() == 3 && IsKnown("i-1"); });
    store.KeepCopy();
    WriteOthers();
    store.Put("op", "config", MakeDocument(4, "k2"));
    RunUntil([this] { return Version() == 4; });
  }
};

}  // namespace

// Guards against changes that are dropped because the store gives out the
// versions again that it lost when it returned to an older copy.
TEST_CASE_FIXTURE(ReturnFixture,
                  "a change made after the store returned to an older copy is "
                  "in force in time") {
  WriteBeforeReturn();
  store.ReturnToCopy();
  SUBCASE("as the first one") {}
  SUBCASE("after the lost one was written again") {
    store.Put("op", "config", MakeDocument(4, "k2"));
  }
  SUBCASE("after the daemon has seen the copy") {
    RunFor(milliseconds(500));
    // The tables in force don't go back, and the key isn't accepted again.
    CHECK(Version() == 4);
    CHECK(state.relay.tables->FindWorkspaceOfKey("k1") == nullptr);
  }
  store.Put("op", "config", MakeDocument(5, "k3"));
  SUBCASE("before the versions have reached the former ones") {}
  SUBCASE("and the versions have passed the former ones") {
    WriteOthers();
    WriteOthers();
  }
  const int before = store.calls();
  RunFor(kApplyBound);
  CHECK(Version() == 5);
  CHECK(store.calls() - before <= kMostCalls);
  CHECK(IsRecorded(EventKind::kStoreReset, "op"));
}

// Guards against rows that only the daemons know after such a return.
TEST_CASE_FIXTURE(ReturnFixture,
                  "an entry that the store lost is removed unless it is "
                  "written again") {
  WriteBeforeReturn();
  for (const char* name : {"lost", "again"}) {
    store.Put("servers", name, MakeEntry("ready"));
  }
  RunUntil([this] { return IsKnown("lost") && IsKnown("again"); });
  // Until then entries are kept because the daemon has just started.
  RunFor(Fleet::kReregistrationTime + milliseconds(200));
  store.ReturnToCopy();
  bool kept = true;
  const TimePoint again = loop.Now() + kHeartbeat;
  RunUntil([&] {
    kept = kept && IsKnown("again");
    return loop.Now() >= again;
  });
  CHECK(kept);
  store.Put("servers", "again", MakeEntry("ready"));
  RunUntil([this] { return !IsKnown("lost"); });
  CHECK(IsKnown("again"));
  CHECK(IsKnown("i-1"));
}

// Guards against work for an upstream that was leaving before the return.
TEST_CASE_FIXTURE(ReturnFixture,
                  "an upstream that was draining isn't used because the copy "
                  "says that it is ready") {
  WriteBeforeReturn();
  const auto is_available = [this] {
    return !state.relay.fleet.ListAvailable(PoolName("s")).empty();
  };
  REQUIRE(is_available());
  store.Put("servers", "i-1", MakeEntry("draining"));
  RunUntil([&] { return !is_available(); });
  store.ReturnToCopy();
  RunUntil([this] { return IsRecorded(EventKind::kStoreReset, "servers"); });
  CHECK_FALSE(is_available());
}

// Guards against a table put together from the pages of two eras.
TEST_CASE_FIXTURE(ReturnFixture,
                  "a return between the pages of a list loses no entry") {
  for (const char* name : {"i-1", "i-2", "i-3", "i-5"}) {
    store.Put("servers", name, MakeEntry("ready"));
  }
  store.KeepCopy();
  store.Put("servers", "i-4", MakeEntry("ready"));
  store.set_page_rows(2);
  bool returned = false;
  store.set_on_page([&] {
    if (std::exchange(returned, true)) return;
    store.ReturnToCopy();
    store.Put("servers", "i-0", MakeEntry("ready"));
  });
  Start();
  RunUntil([this] { return state.relay.fleet_known; });
  CHECK(IsKnown("i-0"));
  CHECK(IsKnown("i-5"));
  CHECK_FALSE(IsKnown("i-4"));
}

// Guards against daemons that learn from peers and stay with the lost rows.
TEST_CASE_FIXTURE(ReturnFixture,
                  "a daemon behind the followers learns of the return from a "
                  "peer") {
  RowMirror peer;
  const FakeServer server(
      loop, TestPorts::kPeers,
      [&peer](const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller) {
        const auto wanted = ParseMirrorTarget(request.target);
        REQUIRE(wanted.has_value());
        caller->Respond(
            {{200, {}}, EncodeMirrorPage(peer.ChangesAfter(wanted->after))});
      });
  const auto deliver = [&] {
    state.relay.peer_views.Deliver({.tables = peer.view()},
                                   LocalEndpoint(TestPorts::kPeers));
  };
  const auto read_whole = [&](StoreVersion at, int version) {
    peer.Apply({.head = at,
                .position = at,
                .whole = true,
                .rows = {{"config", MakeDocument(version, "k"), at, false}}});
    deliver();
  };
  SetBehindFollowers();
  Start();
  read_whole({1, 40}, 4);
  RunUntil([this] { return Version() == 4; });
  read_whole({2, 20}, 3);
  RunUntil([&] { return state.relay.mirrors.tables.view() == peer.view(); });
  CHECK(Version() == 4);
  peer.Apply({.head = {2, 21},
              .position = {2, 21},
              .rows = {{"config", MakeDocument(5, "k"), {2, 21}, false}}});
  deliver();
  RunUntil([this] { return Version() == 5; });
  CHECK(store.calls() == 0);
}

// Guards against proofs and a loop of calls where the versions go back and the
// store doesn't say so.
TEST_CASE_FIXTURE(ReturnFixture,
                  "answers older than what is known prove nothing") {
  store.set_states_era(false);
  WriteBeforeReturn();
  store.ReturnToCopy();
  const int before = store.calls();
  const BootTime returned = loop.BootNow();
  RunFor(kApplyBound);
  CHECK(store.calls() - before <= kMostCalls);
  CHECK(state.relay.freshness.AgeAt(loop.BootNow()) >=
        loop.BootNow() - returned);
}

}  // namespace wisteriayoke
