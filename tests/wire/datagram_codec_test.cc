#include "wire/datagram_codec.h"

#include <doctest/doctest.h>

#include <random>

#include "decisions/membership.h"
#include "decisions/segment_quarantine.h"

namespace wisteriayoke {
namespace {

PeerMessage MakeMessage() {
  PeerMessage message;
  message.sender = {DaemonName("daemon1"), {"127.0.0.1", 7002}, 12, {}};
  message.head = {3, "hash"};
  message.content = PingRequest{9, {"127.0.0.2", 7002}};
  message.members = {
      {DaemonName("daemon2"), {"127.0.0.2", 7002}, 4, MemberStatus::kSuspect}};
  message.updates = {
      TableHeadUpdate{{4, "next"}},
      LeavingUpdate{UpstreamName("engine1"), Duration(5), 77, 8},
      SuspectUpdate{"print", UpstreamName("e"), Duration(6), 9, true},
      IsolatedRunUpdate{"print", UpstreamName("e"), DaemonName("d"), true,
                        Duration(8)},
      SegmentCrashUpdate{RequestId("r"),
                         UpstreamName("e"),
                         {SegmentId("s1"), SegmentId("s2")},
                         Duration(13),
                         Duration(14)},
      SegmentClearedUpdate{SegmentId("s3"), Duration(15)},
      SegmentBlockUpdate{SegmentId("s4"), Duration(16), Duration(17),
                         Duration(18)}};
  message.clock_us = 11;
  return message;
}

}  // namespace

TEST_CASE("a datagram is unchanged by encoding and parsing") {
  LastReason reason;
  const PeerMessage sent = MakeMessage();
  const auto data = EncodeDatagram(sent, reason);
  REQUIRE(data.has_value());
  const auto message = ParseDatagram(*data, reason);
  REQUIRE(message.has_value());
  CHECK(message->sender == sent.sender);
  CHECK(message->head == sent.head);
  CHECK(message->content == sent.content);
  CHECK(message->members == sent.members);
  CHECK(message->updates == sent.updates);
  CHECK(message->clock_us == sent.clock_us);
}

TEST_CASE("in-flight counts are unchanged by encoding and parsing") {
  LastReason reason;
  PeerMessage message = MakeMessage();
  message.content = InFlightCountsNotice{{{7, 1}, {0xffffffff, 0xffff}}};
  const auto data = EncodeDatagram(message, reason);
  REQUIRE(data.has_value());
  const auto parsed = ParseDatagram(*data, reason);
  REQUIRE(parsed.has_value());
  CHECK(parsed->content == message.content);
}

TEST_CASE("the greatest number of in-flight counts fits into one datagram") {
  LastReason reason;
  PeerMessage message = MakeMessage();
  message.members.clear();
  message.updates.clear();
  message.content =
      InFlightCountsNotice{InFlightCounts(Membership::kMaxCounts, {1, 1})};
  const auto data = EncodeDatagram(message, reason);
  REQUIRE(data.has_value());
  CHECK(data->size() <= kMaxDatagramBytes);
}

TEST_CASE("truncated, overlong, corrupted and foreign datagrams are refused") {
  LastReason reason;
  const std::string data = *EncodeDatagram(MakeMessage(), reason);
  for (std::size_t size = 0; size < data.size(); ++size) {
    reason.Clear();
    CHECK_FALSE(ParseDatagram(data.substr(0, size), reason).has_value());
    CHECK(reason.code() == ResultCode::kMalformedDatagram);
  }
  CHECK_FALSE(ParseDatagram(data + "x", reason).has_value());
  std::mt19937 random(20260);
  for (int i = 0; i < 20000; ++i) {
    std::string corrupted = data;
    corrupted[random() % corrupted.size()] = static_cast<char>(random());
    ParseDatagram(corrupted, reason);
  }
  std::string foreign = data;
  foreign[3] = static_cast<char>(foreign[3] + 1);
  CHECK_FALSE(ParseDatagram(foreign, reason).has_value());
}

TEST_CASE("a message that is too long loses its last gossip updates") {
  LastReason reason;
  PeerMessage message = MakeMessage();
  message.updates.assign(100, TableHeadUpdate{{4, std::string(64, 'a')}});
  const auto data = EncodeDatagram(message, reason);
  REQUIRE(data.has_value());
  CHECK(data->size() <= kMaxDatagramBytes);
  CHECK_FALSE(ParseDatagram(*data, reason)->updates.empty());
}

TEST_CASE("a crash update with the most segments fits beside other updates") {
  LastReason reason;
  PeerMessage message = MakeMessage();
  const std::vector<SegmentId> segments(SegmentQuarantine::kMaxSegments,
                                        SegmentId(std::string(64, 'a')));
  message.updates.push_back(
      SegmentCrashUpdate{RequestId(std::string(64, 'r')),
                         UpstreamName(std::string(64, 'u')), segments});
  const auto data = EncodeDatagram(message, reason);
  REQUIRE(data.has_value());
  CHECK(data->size() <= kMaxDatagramBytes);
  CHECK(ParseDatagram(*data, reason)->updates == message.updates);
}

// Guards against a view of the store whose era is lost on the way to a peer.
TEST_CASE("a view of the store keeps the eras of its tables") {
  for (const std::uint32_t era : {0, 1, 2}) {
    LastReason reason;
    PeerMessage message = MakeMessage();
    message.store = StoreView{{{1, 17}, {1, 18}}, {{era, 5}, {era, 90}}};
    const auto data = EncodeDatagram(message, reason);
    REQUIRE(data.has_value());
    CHECK(ParseDatagram(*data, reason)->store == message.store);
  }
}

// Guards against a daemon that falls silent for its peers once a caller's id of
// a request that crashed an upstream is too long.
// Guards against a group of two builds that don't read each other's messages.
// The bytes are those of build a283951, which has no update on cleared suspects
// and sent the last update as a crash of an age that it ignores.
TEST_CASE("a datagram is the same as in the build before") {
  constexpr std::string_view kHex =
      "01595705026432093132372e302e302e315a1b0c000000000000000003000000"
      "0000000004686173680003000302057072696e740165005a6202000000000900"
      "0000010601730087930300000000c00e16020000000012000000000000000205"
      "7072696e740040cb0fb82e340b0000000000000b0000000000000000000000";
  std::string bytes;
  for (std::size_t i = 0; i < kHex.size(); i += 2) {
    bytes += static_cast<char>(
        std::stoi(std::string(kHex.substr(i, 2)), nullptr, 16));
  }
  LastReason reason;
  const auto message = ParseDatagram(bytes, reason);
  REQUIRE_MESSAGE(message.has_value(), reason.message());
  const std::vector<GossipUpdate> updates{
      SuspectUpdate{"print", UpstreamName("e"), std::chrono::seconds(40), 9,
                    true},
      SegmentBlockUpdate{SegmentId("s"), std::chrono::minutes(1),
                         std::chrono::seconds(35), Duration(18)},
      SuspectClearedUpdate{"print", std::chrono::seconds(5)}};
  CHECK(message->updates == updates);
  CHECK(EncodeDatagram(*message, reason) == bytes);
}

TEST_CASE("an update that no datagram holds is left out alone") {
  LastReason reason;
  PeerMessage message = MakeMessage();
  const auto updates = message.updates;
  message.updates.insert(
      message.updates.begin(),
      SegmentCrashUpdate{RequestId(std::string(256, 'r')), UpstreamName("e")});
  const auto data = EncodeDatagram(message, reason);
  REQUIRE(data.has_value());
  CHECK(ParseDatagram(*data, reason)->updates == updates);
}

// Guards against an address of a peer that continues in the head of a request,
// or is none and so means this machine.
TEST_CASE("a datagram with an address that is none is refused") {
  using std::string_literals::operator""s;
  for (const auto& host :
       {""s, "nowhere"s, "127.0.0.1\0"s, "127.0.0.1\r\nA: b"s}) {
    CAPTURE(host);
    LastReason reason;
    PeerMessage message = MakeMessage();
    message.members[0].endpoint.host = host;
    const auto data = EncodeDatagram(message, reason);
    REQUIRE(data.has_value());
    CHECK_FALSE(ParseDatagram(*data, reason).has_value());
    CHECK(reason.code() == ResultCode::kMalformedDatagram);
  }
}

}  // namespace wisteriayoke
