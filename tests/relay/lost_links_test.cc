#include <doctest/doctest.h>

#include "relay/relay_fixture.h"

namespace wisteriayoke {
namespace {

/// A relay whose upstreams all refuse connections.
struct LostLinksFixture : RelayFixture {
  static constexpr std::uint16_t kClosedPort = TestPorts::kOperators;

  LostLinksFixture() {
    for (const char* name : {"s-1", "s-2"}) {
      AddUpstream(name, "s", {}, kClosedPort);
    }
    for (const char* name : {"w-1", "w-2"}) {
      AddUpstream(name, "w", {0, 8}, kClosedPort);
    }
  }
};

}  // namespace

// Guards against callers that stay with a daemon without a link to any
// upstream.
TEST_CASE_FIXTURE(LostLinksFixture,
                  "a daemon without a link to any upstream refuses at once and "
                  "closes its callers' connections") {
  CHECK(StatusOf("/read/x") == 503);
  RunUntil([this] { return state.relay.reach.lost(); });
  const std::uint64_t attempts = seen.size();
  const auto refused = Call("/hold/x").response;
  CHECK(refused.head.status == 503);
  CHECK(FindField(refused.head.fields, "Connection") == "close");
  CHECK(seen.size() == attempts);
  // It finds out by itself when the links are back.
  AddUpstream("s-1", "s", {}, TestPorts::kPeers);
  RunUntil([this] { return !state.relay.reach.lost(); });
  CHECK(StatusOf("/read/x") == 200);
}

}  // namespace wisteriayoke
