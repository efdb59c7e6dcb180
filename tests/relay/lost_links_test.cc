#include <doctest/doctest.h>

#include "relay/relay_fixture.h"
#include "wire/passed_request.h"

namespace wisteriayoke {
namespace {

constexpr std::uint16_t kClosedPort = 31710;
constexpr std::uint16_t kPeerPort = 31711;
constexpr std::uint16_t kOtherPeerPort = 31712;

/// A relay that has lost its links: its upstreams all refuse connections.
struct LostLinksFixture : RelayFixture {
  LostLinksFixture() {
    for (const char* name : {"s-1", "s-2"}) {
      AddUpstream(name, "s", {}, kClosedPort);
    }
    for (const char* name : {"w-1", "w-2"}) {
      AddUpstream(name, "w", {0, 8}, kClosedPort);
    }
    CHECK(StatusOf("/read/x") == 503);
    RunUntil([this] { return state.relay.reach.lost(); });
  }
};

/// The same with two peers, one of which has lost its links as well. The other
/// answers as the upstreams of `RelayFixture`.
struct PassingFixture : LostLinksFixture {
  int declined = 0;
  FakeServer lost_peer{loop, kPeerPort,
                       [this](const HttpRequest&, const CallerPtr& caller) {
                         ++declined;
                         caller->Respond({{kStatusPassedInVain, {}}, ""});
                       }};
  FakeServer peer{loop, kOtherPeerPort,
                  [this](const HttpRequest& request, const CallerPtr& caller) {
                    Handle(request, caller);
                  }};

  PassingFixture() {
    state.relay.pass_targets.SetPeers(
        {LocalEndpoint(kPeerPort), LocalEndpoint(kOtherPeerPort)});
  }
};

}  // namespace

// Guards against callers that stay with a daemon without a link to any
// upstream.
TEST_CASE_FIXTURE(
    LostLinksFixture,
    "a daemon without a link to any upstream or a peer refuses at "
    "once and closes its callers' connections") {
  const auto refused = Call("/hold/x").response;
  CHECK(refused.head.status == 503);
  CHECK(FindField(refused.head.fields, "Connection") == "close");
  CHECK_FALSE(FindField(refused.head.fields, "Retry-After").empty());
  // It finds out by itself when the links are back.
  AddUpstream("s-1", "s", {}, TestPorts::kPeers);
  RunUntil([this] { return !state.relay.reach.lost(); });
  CHECK(StatusOf("/read/x") == 200);
}

// Guards against first tries that fail where the balancer has to use daemons
// without links.
TEST_CASE_FIXTURE(PassingFixture,
                  "a daemon without a link to any upstream passes requests on "
                  "to a peer that has one") {
  for (int i = 0; i < 8; ++i) {
    const auto answer = Call("/hold/x").response;
    CHECK(answer.head.status == 200);
    CHECK(answer.body == "whole");
    CHECK(FindField(answer.head.fields, "Response-Seal") == "seal");
  }
  CHECK(declined <= 1);
  REQUIRE(seen.size() == 8);
  const HttpFields& fields = seen[0].fields;
  CHECK(IsPassedOn(seen[0]));
  CHECK(seen[0].target == "/hold/x");
  CHECK(FindField(fields, "Host") == "h");
  CHECK(FindField(fields, "Attempt-Id") == "a1");
  CHECK(FindField(fields, "Authorization") == "Bearer k1");
  CHECK(std::stoi(std::string(FindField(fields, "Deadline-Ms"))) <= 5000);
  // What a peer passes on is never passed on again.
  HttpRequest passed = MakeRequest("/hold/x", "k1");
  passed.fields.push_back({std::string(kPassedOnField), "1"});
  CHECK(Fetch(TestPorts::kFront, passed).response.head.status ==
        kStatusPassedInVain);
  CHECK(seen.size() == 8);
}

// Guards against work that runs twice because a peer fell silent.
TEST_CASE_FIXTURE(PassingFixture,
                  "a request that a peer may have run isn't passed on again") {
  answers = {
      [](const HttpRequest&, const CallerPtr& caller) { caller->Abort(); }};
  CHECK(StatusOf("/hold/x") == 502);
  CHECK(seen.size() == 1);
}

TEST_CASE_FIXTURE(PassingFixture,
                  "a stream is passed back as it comes, and broken off as it "
                  "was") {
  bool breaks = false;
  SUBCASE("whole") {}
  SUBCASE("broken off") { breaks = true; }
  answers = {[breaks](const HttpRequest& request, const CallerPtr& caller) {
    HttpResponseHead head = MakeSealed(request, 200, "").head;
    head.fields.push_back({"Content-Type", "text/event-stream"});
    caller->StartStream(head);
    caller->WriteChunk(MakeEvent(1));
    if (breaks) return caller->BreakStream();
    caller->WriteChunk(MakeEvent(2));
    caller->EndStream();
  }};
  const auto result = Call("/tale/x");
  CHECK((result.code == ResultCode::kOk) == !breaks);
  CHECK(result.response.head.status == 200);
  const std::string whole = MakeEvent(1) + MakeEvent(2);
  CHECK(result.response.body == (breaks ? MakeEvent(1) : whole));
}

}  // namespace wisteriayoke
