#include "store_follower/follower_fixture.h"

namespace wisteriayoke {

TEST_CASE_FIXTURE(FollowerFixture,
                  "changes of tables and entries are applied") {
  store.Put("op", "config", MakeDocument(3, "k1"));
  store.Put("servers", "i-1", MakeEntry("ready"));
  Start();
  RunUntil([this] { return Version() == 3 && IsKnown("i-1"); });
  CHECK(state.relay.fleet_known);
  CHECK(state.relay.freshness.AllowsKeys(loop.BootNow()));
  store.Put("op", "config", MakeDocument(8, "k2"));
  store.Put("servers", "i-1", MakeEntry("draining"));
  RunUntil([this] {
    return Version() == 8 &&
           state.relay.fleet.ListAvailable(PoolName("s")).empty();
  });
  CHECK(state.relay.tables->FindWorkspaceOfKey("k1") == nullptr);
  store.Drop("servers", "i-1");
  RunUntil([this] { return !IsKnown("i-1"); });
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "many changes in quick succession need few calls") {
  store.Put("op", "config", MakeDocument(3, "k1"));
  Start();
  RunUntil([this] { return state.relay.fleet_known; });
  const int before = store.calls();
  // Fifty upstreams appear one after the other, over half a second.
  int written = 0;
  LoopTimerPtr timer;
  std::function<void()> write = [&] {
    if (written == 50) return;
    store.Put("servers", "i-" + std::to_string(written++), MakeEntry("ready"));
    timer = loop.Schedule(std::chrono::milliseconds(10), write);
  };
  write();
  RunUntil([this] { return IsKnown("i-49"); });
  // At most one call each 200 ms, one for the tables, and one more.
  CHECK(store.calls() - before <= 6);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "a document with a lower version is ignored") {
  store.Put("op", "config", MakeDocument(5, "k1"));
  Start();
  RunUntil([this] { return Version() == 5; });
  store.Put("op", "config", MakeDocument(4, "k2"));
  const int calls = store.calls();
  RunUntil([this, calls] { return store.calls() > calls; });
  CHECK(Version() == 5);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "without a store keys stop being accepted in time") {
  store.Put("op", "config", MakeDocument(5, "k1"));
  state.relay.freshness =
      Freshness({.revocation = std::chrono::milliseconds(1500)});
  Start();
  RunUntil([this] { return Version() == 5; });
  store.set_fault(StoreFault::kSilent);
  RunUntil(
      [this] { return !state.relay.freshness.AllowsKeys(loop.BootNow()); });
  store.set_fault(StoreFault::kNone);
  RunUntil([this] { return state.relay.freshness.AllowsKeys(loop.BootNow()); });
  RunUntil([this] { return Count(EventKind::kKeysFresh) == 2; });
  CHECK(Count(EventKind::kKeysStale) == 1);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "an invalid document is no proof of freshness") {
  store.Put("op", "config", MakeDocument(5, "k1"));
  Start();
  RunUntil([this] { return Version() == 5; });
  const auto before = state.relay.freshness.AgeAt(loop.BootNow());
  store.Put("op", "config", R"({"Version":9,"Routes":[{}]})");
  const int calls = store.calls();
  RunUntil([this, calls] { return store.calls() > calls + 1; });
  CHECK(Version() == 5);
  REQUIRE(before.has_value());
  CHECK(state.relay.freshness.AgeAt(loop.BootNow()) > *before);
}

TEST_CASE_FIXTURE(
    FollowerFixture,
    "a table is read again if the store no longer keeps its changes") {
  store.Put("op", "config", MakeDocument(5, "k1"));
  store.Put("servers", "i-1", MakeEntry("ready"));
  store.Put("servers", "i-2", MakeEntry("ready"));
  Start();
  RunUntil([this] { return IsKnown("i-1") && IsKnown("i-2"); });
  store.set_fault(StoreFault::kForgetting);
  store.Drop("servers", "i-1");
  RunUntil([this] { return !IsKnown("i-1"); });
  CHECK(IsKnown("i-2"));
}

// Guards against a change that is missed because it is made in a page that was
// already read, while a later page has a newer one.
TEST_CASE_FIXTURE(FollowerFixture,
                  "no change between the pages of a long table is missed") {
  constexpr int kRows = 1200;
  const auto name = [](int i) { return "i-" + std::to_string(10'000 + i); };
  store.Put("op", "config", MakeDocument(5, "k1"));
  for (int i = 0; i < kRows; ++i) {
    store.Put("servers", name(i), MakeEntry("ready"));
  }
  int pages = 0;
  store.set_on_page([&] {
    const int first = 500 * pages++;
    store.Put("servers", name(first), MakeEntry("draining"));
    store.Drop("servers", name(first + 1));
    store.Put("servers", name(kRows - 1 - pages), MakeEntry("draining"));
  });
  Start();
  RunUntil([&] {
    return IsKnown(name(kRows - 1)) && !IsKnown(name(1)) && !IsKnown(name(501));
  });
  CHECK(pages == 2);
  CHECK(state.relay.fleet.entries().size() == kRows - 2);
  CHECK(state.relay.fleet.ListAvailable(PoolName("s")).size() == kRows - 6);
}

TEST_CASE_FIXTURE(FollowerFixture, "an invalid entry doesn't affect others") {
  store.Put("op", "config", MakeDocument(5, "k1"));
  store.Put("servers", "i-1", MakeEntry("ready"));
  store.Put("servers", "zz", "\xff not an entry");
  Start();
  RunUntil([this] { return IsKnown("i-1"); });
  CHECK_FALSE(IsKnown("zz"));
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "entries that expire during an outage are kept for a while") {
  store.Put("op", "config", MakeDocument(5, "k1"));
  store.Put("servers", "i-1", MakeEntry("ready"));
  Start();
  RunUntil([this] { return IsKnown("i-1"); });
  store.set_fault(StoreFault::kRefusing);
  // The wait in progress ends with this change; the next call fails.
  store.Put("servers", "i-2", MakeEntry("ready"));
  RunUntil([this] { return IsRecorded(EventKind::kStoreLost, "servers"); });
  // The wait for the tables is still answered after the fault begins.
  const TimePoint end =
      loop.Now() + Fleet::kShortestOutage + std::chrono::seconds(1);
  RunUntil([&] { return loop.Now() >= end; });
  store.Drop("servers", "i-1");
  store.set_fault(StoreFault::kNone);
  RunUntil([this] { return IsRecorded(EventKind::kStoreReturned, "servers"); });
  CHECK(IsKnown("i-1"));
  CHECK(FindEvent(EventKind::kUpstreamMissing, "source", "store") != nullptr);
  RunUntil([this] { return !IsKnown("i-1"); });
  CHECK(FindEvent(EventKind::kUpstreamGone, "source", "expiry") != nullptr);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "an empty or invalid table doesn't make a daemon call in a "
                  "loop") {
  SUBCASE("empty") {}
  SUBCASE("invalid") { store.Put("op", "config", R"({"Version":9})"); }
  Start();
  RunUntil([this] { return state.relay.fleet_known; });
  const int before = store.calls();
  const TimePoint until = loop.Now() + std::chrono::milliseconds(700);
  RunUntil([&] { return loop.Now() >= until; });
  CHECK(store.calls() - before <= 4);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "a daemon behind the followers fetches changes from a peer") {
  RowMirror peer;
  peer.Apply({.head = {0, 7},
              .position = {0, 9},
              .whole = true,
              .rows = {{"i-1", MakeEntry("ready"), {0, 7}, false}}});
  const FakeServer server(
      loop, TestPorts::kPeers,
      [&peer](const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller) {
        const auto wanted = ParseMirrorTarget(request.target);
        REQUIRE(wanted.has_value());
        caller->Respond(
            {{200, {}}, EncodeMirrorPage(peer.ChangesAfter(wanted->after))});
      });
  SetBehindFollowers();
  Start();
  const Endpoint source = LocalEndpoint(TestPorts::kPeers);
  state.relay.peer_views.Deliver({.entries = peer.view()}, source);
  RunUntil([this] { return IsKnown("i-1"); });
  CHECK(state.relay.fleet_known);
  CHECK_FALSE(state.relay.follows_store);
  CHECK(state.relay.mirrors.entries.view() == peer.view());
  peer.Apply({.head = {0, 12},
              .position = {0, 12},
              .rows = {{"i-1", "", {0, 12}, true}}});
  state.relay.peer_views.Deliver({.entries = peer.view()}, source);
  RunUntil([this] { return !IsKnown("i-1"); });
  CHECK(store.calls() == 0);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "after an outage of the store entries that peers remove are "
                  "kept for a while") {
  RowMirror peer;
  peer.Apply({.head = {0, 7},
              .position = {0, 9},
              .whole = true,
              .rows = {{"i-1", MakeEntry("ready"), {0, 7}, false},
                       {"i-2", MakeEntry("ready"), {0, 6}, false}}});
  const FakeServer server(
      loop, TestPorts::kPeers,
      [&peer](const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller) {
        const auto wanted = ParseMirrorTarget(request.target);
        caller->Respond(
            {{200, {}}, EncodeMirrorPage(peer.ChangesAfter(wanted->after))});
      });
  SetBehindFollowers();
  Start();
  const Endpoint source = LocalEndpoint(TestPorts::kPeers);
  const auto deliver = [&] {
    state.relay.peer_views.Deliver({.entries = peer.view()}, source);
  };
  deliver();
  RunUntil([this] { return IsKnown("i-1") && IsKnown("i-2"); });
  // In a calm group a removal holds at once.
  peer.Apply({.head = {0, 12},
              .position = {0, 12},
              .rows = {{"i-2", "", {0, 12}, true}}});
  deliver();
  RunUntil([&] {
    return state.relay.mirrors.entries.view().head == StoreVersion(0, 12);
  });
  CHECK_FALSE(IsKnown("i-2"));
  // Nobody has a proof of the tables any more: the store is out of reach.
  store.set_fault(StoreFault::kSilent);
  state.relay.freshness = Freshness();
  peer.Apply({.head = {0, 15},
              .position = {0, 15},
              .rows = {{"i-1", "", {0, 15}, true}}});
  deliver();
  RunUntil([&] {
    return state.relay.mirrors.entries.view().head == StoreVersion(0, 15);
  });
  CHECK(IsKnown("i-1"));
  state.relay.freshness.RecordProof(loop.BootNow());
  RunUntil([this] { return !IsKnown("i-1"); });
}

TEST_CASE_FIXTURE(
    FollowerFixture,
    "a peer that can't be reached or talks nonsense is recorded") {
  SetBehindFollowers();
  Start();
  const Endpoint source = LocalEndpoint(TestPorts::kPeers);
  state.relay.peer_views.Deliver({.entries = {{0, 4}, {0, 4}}}, source);
  RunUntil([this] { return Count(EventKind::kPeerFetchFailed) == 1; });
  const FakeServer server(
      loop, TestPorts::kPeers,
      [](const HttpRequest&, const std::shared_ptr<HttpServerSession>& caller) {
        caller->Respond({{200, {}}, "nonsense"});
      });
  state.relay.peer_views.Deliver({.entries = {{0, 4}, {0, 4}}}, source);
  RunUntil([this] { return Count(EventKind::kPeerFetchFailed) == 2; });
  CHECK_FALSE(state.relay.fleet_known);
}

TEST_CASE_FIXTURE(FollowerFixture,
                  "a daemon without a recent proof follows the store itself") {
  store.Put("op", "config", MakeDocument(3, "k1"));
  state.relay.freshness =
      Freshness({.revocation = std::chrono::milliseconds(5000)});
  SetBehindFollowers();
  Start();
  CHECK(Version() == 0);
  RunUntil([this] { return Version() == 3; });
  CHECK(Count(EventKind::kStoreFollowed) == 1);
  CHECK(state.relay.proof_source == "store");
  // With the proof it leaves the store to the followers again.
  RunUntil([this] { return Count(EventKind::kStoreUnfollowed) == 1; });
}

}  // namespace wisteriayoke
