#include "supervisor/operators/operators_server.h"

#include <doctest/doctest.h>

#include "supervisor/context/operators_codec.h"
#include "support/daemon_fixture.h"

namespace wisteriayoke {
namespace {

/// An operators' port whose hooks note what they were asked.
struct OperatorsFixture : DaemonFixture {
  int stops = 0;
  std::string restarted;
  std::string announced;
  std::shared_ptr<OperatorsServer> port = std::make_shared<OperatorsServer>(
      Context(),
      OperatorsHooks{
          .describe = [this] { return BuildDaemonStatus(Context()); },
          .request_stop = [this] { ++stops; },
          .restart_child =
              [this](const std::string& path, LastReason& reason) {
                restarted = path;
                reason.Set(ResultCode::kUnknownChild, "no such child");
                return path == "upstreams/pool";
              },
          .announce_tables =
              [this](std::uint64_t number, const std::string& content,
                     LastReason& reason) {
                announced = std::to_string(number) + content;
                reason.Set(ResultCode::kTableInvalid, "no tables");
                return !content.empty();
              }},
      [](const LastReason&) {});

  OperatorsFixture() {
    LastReason reason;
    REQUIRE(port->Start(reason));
  }
  ~OperatorsFixture() {
    port->Stop([] {});
  }

  HttpResponse Ask(const std::string& method, const std::string& target) {
    return Fetch(TestPorts::kOperators, {.method = method, .target = target})
        .response;
  }
};

}  // namespace

TEST_CASE_FIXTURE(OperatorsFixture, "accepted tables are handed over") {
  const auto put = [this](const char* target, const char* body) {
    return Fetch(TestPorts::kOperators,
                 {.method = "PUT", .target = target, .body = body})
        .response.head.status;
  };
  CHECK(put("/tables/7", "content") == 202);
  CHECK(announced == "7content");
  CHECK(put("/tables/7", "") == 422);
  CHECK(put("/tables/7x", "content") == 400);
  CHECK(put("/other", "content") == 404);
}

TEST_CASE_FIXTURE(OperatorsFixture, "status and time line can be read") {
  state.timeline.Record(LogLevel::kDebug, EventKind::kStarted, ResultCode::kOk,
                        {{"front", "here"}});
  LastReason reason;
  const auto status = ParseDaemonStatus(Ask("GET", "/status").body, reason);
  REQUIRE(status.has_value());
  CHECK(status->name == DaemonName("d1"));
  CHECK_FALSE(status->ready);
  const auto timeline =
      ParseDaemonTimeline(Ask("GET", "/timeline").body, reason);
  REQUIRE(timeline.has_value());
  CHECK(timeline->events[0].kind == EventKind::kStarted);
  CHECK(Ask("GET", "/metrics").body.find("wisteriayoke_ready 0") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(OperatorsFixture,
                  "drain is answered, then asked of the root") {
  CHECK(Ask("POST", "/drain").head.status == 202);
  RunUntil([this] { return stops == 1; });
  state.draining = true;
  CHECK(Ask("POST", "/drain").head.status == 202);
  CHECK(Ask("GET", "/status").head.status == 200);
  CHECK(stops == 1);
}

TEST_CASE_FIXTURE(OperatorsFixture, "a restart names its child") {
  CHECK(Ask("POST", "/children/upstreams/pool/restart").head.status == 202);
  CHECK(restarted == "upstreams/pool");
  const auto refused = Ask("POST", "/children/none/restart");
  CHECK(refused.head.status == 404);
  CHECK(refused.body.find("114") != std::string::npos);
  CHECK(Ask("POST", "/children//restart").head.status == 404);
  CHECK(Ask("GET", "/drain").head.status == 404);
}

}  // namespace wisteriayoke
