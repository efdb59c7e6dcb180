#include "supervisor/relay/readiness_server.h"

#include <doctest/doctest.h>

#include "support/daemon_fixture.h"

namespace wisteriayoke {

TEST_CASE("a daemon is ready with fresh tables and a list of upstreams") {
  DaemonFixture fixture;
  LastReason reason;
  const auto settings = Settings::Create(
      fixture.settings.Print() + "\n[front]\nready_address = " +
          LocalEndpoint(TestPorts::kUpstream).ToString() + "\n",
      reason);
  REQUIRE_MESSAGE(settings.has_value(), reason.message());
  const auto ready = std::make_shared<ReadinessServer>(
      DaemonContext{fixture.loop, *settings, fixture.state},
      [](const LastReason&) {});
  REQUIRE(ready->Start(reason));
  const auto status = [&fixture] {
    return fixture.Fetch(TestPorts::kUpstream, {}).response.head.status;
  };
  CHECK(status() == 503);
  fixture.state.relay.tables = std::make_shared<const RelayTables>(RelaySpec{});
  fixture.state.relay.fleet_known = true;
  CHECK(status() == 503);
  fixture.state.relay.freshness.RecordProof(fixture.loop.BootNow());
  CHECK(status() == 200);
  for (const char* name : {"i-1", "i-2"}) {
    fixture.state.relay.reach.RecordFailure(UpstreamName(name), TimePoint{});
  }
  fixture.state.relay.reach.Update({UpstreamName("i-1"), UpstreamName("i-2")},
                                   TimePoint{});
  CHECK(status() == 503);
  fixture.state.relay.reach.RecordAnswer(TimePoint{});
  CHECK(status() == 200);
  fixture.state.draining = true;
  CHECK(status() == 503);
  ready->Stop([] {});
}

}  // namespace wisteriayoke
