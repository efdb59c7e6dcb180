#include <doctest/doctest.h>

#include "relay/relay_fixture.h"
#include "standins/endless_server.h"

namespace wisteriayoke {

TEST_CASE_FIXTURE(RelayFixture,
                  "an answer without an end is cut within bounded memory") {
  constexpr std::size_t kKernelBytes = 12 * 1024 * 1024;
  constexpr std::size_t kAnswerBytes = 8 * 1024 * 1024;
  EndlessAnswer answer{.part = EndlessPart::kBody,
                       .fields = "Attempt-Id: a1\r\nResponse-Seal: seal\r\n"};
  SUBCASE("body") {}
  SUBCASE("event") { answer.part = EndlessPart::kEvent; }
  LastReason reason;
  const auto server = EndlessServer::Create(
      loop, LocalEndpoint(TestPorts::kPlatform), answer, reason);
  REQUIRE_MESSAGE(server != nullptr, reason.message());
  // The bound on memory must end the answer, not the time limit of a slow run.
  ChangeSpec([](RelaySpec& spec) {
    for (auto& route : spec.routes) route.timeout = std::chrono::seconds(4);
  });
  state.relay.fleet = Fleet();
  AddUpstream("s-9", "s", {}, TestPorts::kPlatform);
  AddUpstream("w-9", "w", {0, 8}, TestPorts::kPlatform);
  // It may have run, so it isn't refused as not run.
  const bool stream = answer.part == EndlessPart::kEvent;
  CHECK(StatusOf(stream ? "/tale/1" : "/hold/1") == 502);
  RunUntil([&server] { return server->open() == 0; });
  CHECK(server->written() <= 2 * (kKernelBytes + kAnswerBytes));
  server->Close();
}

}  // namespace wisteriayoke
