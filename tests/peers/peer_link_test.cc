#include "supervisor/peers/peer_link.h"

#include <doctest/doctest.h>

#include <set>

#include "support/daemon_fixture.h"
#include "wire/datagram_codec.h"
#include "wire/mirror_codec.h"
#include "wire/passed_request.h"

namespace wisteriayoke {
namespace {

constexpr std::uint16_t kOtherPort = TestPorts::kUpstream;

/// A link and a socket that acts as its peer.
struct LinkFixture : DaemonFixture {
  std::vector<PeerMessage> received;
  std::shared_ptr<UdpEndpoint> peer = MakePeer();
  std::shared_ptr<PeerLink> link = MakeLink();

  std::shared_ptr<UdpEndpoint> MakePeer() {
    LastReason reason;
    return UdpEndpoint::Create(
        loop, LocalEndpoint(kOtherPort),
        [this](std::string_view data, const Endpoint&) {
          LastReason ignored;
          if (auto message = ParseDatagram(data, ignored)) {
            received.push_back(std::move(*message));
          }
        },
        reason);
  }

  std::shared_ptr<PeerLink> MakeLink() {
    auto made = std::make_shared<PeerLink>(Context(), [](const LastReason&) {});
    LastReason reason;
    REQUIRE_MESSAGE(made->Start(reason), reason.message());
    return made;
  }

  ~LinkFixture() {
    link->Stop([] {});
    peer->Close();
  }

  void SendPing(const TableVersion& head = {}, bool joining = false) {
    PeerMessage message{
        .sender = {DaemonName("d2"), LocalEndpoint(kOtherPort), 1, {}},
        .head = head,
        .content = Ping{1, joining}};
    LastReason reason;
    peer->Send(*EncodeDatagram(message, reason),
               LocalEndpoint(TestPorts::kPeers));
  }

  bool Recorded(EventKind kind) const {
    for (const auto& event : state.timeline.events()) {
      if (event.kind == kind) return true;
    }
    return false;
  }
};

}  // namespace

TEST_CASE_FIXTURE(LinkFixture,
                  "a ping is answered and its sender becomes a member") {
  SendPing();
  RunUntil([this] { return !received.empty(); });
  CHECK(received[0].sender.name == DaemonName("d1"));
  CHECK(link->group_size() == 2);
}

// Guards against a peer that was stopped, suspended or cut off at the time of a
// crash and never hears which requests crash upstreams.
TEST_CASE_FIXTURE(LinkFixture, "a peer hears later what is refused") {
  for (const std::string content : {"c1", "c2", "c3", "c4", "c5"}) {
    for (const char* upstream : {"e1", "e2"}) {
      state.quarantine.RecordCrash(content, RequestId("r"),
                                   UpstreamName(upstream), 0, loop.Now());
    }
  }
  std::set<std::string> heard;
  const auto hears = [&](std::size_t count) {
    for (const auto& message : received) {
      for (const auto& update : message.updates) {
        const auto* crash = std::get_if<SuspectUpdate>(&update);
        if (crash != nullptr) heard.insert(crash->fingerprint);
      }
    }
    return heard.size() == count;
  };
  SendPing({}, true);
  RunUntil([&] { return hears(5); });
  received.clear();
  heard.clear();
  RunUntil([&] {
    SendPing();  // Keeps the peer alive.
    return hears(1);
  });
}

TEST_CASE_FIXTURE(LinkFixture, "a restarted link has a later incarnation") {
  SendPing();
  RunUntil([this] { return !received.empty(); });
  const std::uint64_t first = received[0].sender.incarnation;
  link->Stop([] {});
  received.clear();
  RunUntil([this] { return !received.empty(); });
  CHECK(received[0].sender.status == MemberStatus::kLeft);
  received.clear();
  link = MakeLink();
  SendPing();
  RunUntil([this] { return !received.empty(); });
  CHECK(received[0].sender.incarnation > first);
}

TEST_CASE_FIXTURE(LinkFixture, "a malformed datagram is dropped and recorded") {
  peer->Send("not a datagram", LocalEndpoint(TestPorts::kPeers));
  RunUntil([this] { return Recorded(EventKind::kDatagramDropped); });
  SendPing();
  RunUntil([this] { return !received.empty(); });
}

TEST_CASE_FIXTURE(LinkFixture, "a peer's head reaches the subscribers") {
  std::vector<GossipUpdate> received_updates;
  const auto subscription =
      state.gossip.Subscribe([&received_updates](const GossipUpdate& update) {
        received_updates.push_back(update);
      });
  SendPing({7, "hash"});
  RunUntil([&received_updates] { return !received_updates.empty(); });
  CHECK(received_updates[0] == GossipUpdate(TableHeadUpdate{{7, "hash"}}));
}

TEST_CASE_FIXTURE(LinkFixture, "content in force is served by its digest") {
  state.version = {1, "abc"};
  state.table_content = "content";
  const auto path = [](const char* hash) {
    return HttpRequest{.target = std::string("/tables/") + hash};
  };
  CHECK(Fetch(TestPorts::kPeers, path("abc")).response.body == "content");
  CHECK(Fetch(TestPorts::kPeers, path("def")).response.head.status == 404);
}

TEST_CASE_FIXTURE(LinkFixture,
                  "an answer to a ping passes on a proof of the tables") {
  state.relay.mirrors.tables.Apply(
      {.head = {1, 5}, .position = {1, 5}, .whole = true});
  state.relay.document_valid = true;
  SendPing();
  const auto find_ping = [this]() -> const Ping* {
    for (const auto& message : received) {
      if (const auto* ping = std::get_if<Ping>(&message.content)) return ping;
    }
    return nullptr;
  };
  const auto answer = [&](StoreVersion head) {
    received.clear();
    RunUntil([&] { return find_ping() != nullptr; });
    PeerMessage message{
        .sender = {DaemonName("d2"), LocalEndpoint(kOtherPort), 1, {}},
        .store = StoreView{{head, head}, {}},
        .content = Ack{find_ping()->sequence, std::chrono::milliseconds(300)}};
    LastReason reason;
    peer->Send(*EncodeDatagram(message, reason),
               LocalEndpoint(TestPorts::kPeers));
    const TimePoint until = loop.Now() + std::chrono::milliseconds(30);
    RunUntil([&] { return loop.Now() >= until; });
  };
  // A peer with newer tables proves nothing for this daemon's.
  answer({1, 6});
  CHECK_FALSE(state.relay.freshness.AgeAt(loop.BootNow()).has_value());
  // Nor does one that hasn't seen the store's return to an older copy.
  answer({0, 5});
  CHECK_FALSE(state.relay.freshness.AgeAt(loop.BootNow()).has_value());
  answer({1, 5});
  const auto age = state.relay.freshness.AgeAt(loop.BootNow());
  REQUIRE(age.has_value());
  CHECK(*age >= std::chrono::milliseconds(300));
  CHECK(*age < std::chrono::milliseconds(600));
  CHECK(state.relay.proof_source == "d2");
}

TEST_CASE_FIXTURE(LinkFixture,
                  "a request that a peer passes on reaches the relay") {
  const HttpRequest passed{.target = "/rows/entries/0.0",
                           .fields = {{std::string(kPassedOnField), "1"}}};
  CHECK(Fetch(TestPorts::kPeers, passed).response.head.status == 404);
  const auto subscription = state.relay.passed_requests.Subscribe(
      [](const HttpRequest& request,
         const std::shared_ptr<HttpServerSession>& caller) {
        caller->Respond({{200, {}}, request.target});
      });
  CHECK(Fetch(TestPorts::kPeers, passed).response.body == "/rows/entries/0.0");
}

TEST_CASE_FIXTURE(LinkFixture, "mirrored tables are served to peers") {
  const auto fetch = [this](const std::string& target) {
    return Fetch(TestPorts::kPeers, {.target = target}).response;
  };
  CHECK(fetch("/rows/entries/0.0").head.status == 404);
  state.relay.mirrors.entries.Apply({.head = {0, 5},
                                     .position = {0, 8},
                                     .whole = true,
                                     .rows = {{"a", "v", {0, 5}, false}}});
  LastReason reason;
  const auto page = ParseMirrorPage(fetch("/rows/entries/0.0").body, reason);
  REQUIRE(page.has_value());
  CHECK(page->rows.size() == 1);
  CHECK(page->position == StoreVersion(0, 8));
  CHECK(fetch("/rows/others/0.0").head.status == 404);
}

}  // namespace wisteriayoke
