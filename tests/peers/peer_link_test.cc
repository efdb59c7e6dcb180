#include "supervisor/peers/peer_link.h"

#include <doctest/doctest.h>

#include "support/daemon_fixture.h"
#include "wire/datagram_codec.h"

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

  void SendPing(const TableVersion& head = {}) {
    PeerMessage message{
        .sender = {DaemonName("d2"), LocalEndpoint(kOtherPort), 1, {}},
        .head = head,
        .content = Ping{1}};
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

}  // namespace wisteriayoke
