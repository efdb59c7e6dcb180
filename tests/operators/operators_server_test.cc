#include "supervisor/operators/operators_server.h"

#include <doctest/doctest.h>

#include "supervisor/context/operators_codec.h"
#include "support/daemon_fixture.h"

namespace wisteriayoke {
namespace {

/// An operators' server with hooks that record their calls.
struct OperatorsFixture : DaemonFixture {
  int stops = 0;
  std::string restarted;
  std::string announced;
  std::shared_ptr<OperatorsServer> server = std::make_shared<OperatorsServer>(
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
    REQUIRE(server->Start(reason));
  }
  ~OperatorsFixture() {
    server->Stop([] {});
  }

  HttpResponse Send(const std::string& method, const std::string& target) {
    return Fetch(TestPorts::kOperators, {.method = method, .target = target})
        .response;
  }
};

}  // namespace

TEST_CASE_FIXTURE(OperatorsFixture, "accepted tables are passed to the root") {
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

TEST_CASE_FIXTURE(OperatorsFixture,
                  "status, timeline and metrics can be read") {
  state.timeline.Record(LogLevel::kDebug, EventKind::kStarted, ResultCode::kOk,
                        {{"front", "here"}});
  LastReason reason;
  const auto status = ParseDaemonStatus(Send("GET", "/status").body, reason);
  REQUIRE(status.has_value());
  CHECK(status->name == DaemonName("d1"));
  CHECK_FALSE(status->ready);
  const auto timeline =
      ParseDaemonTimeline(Send("GET", "/timeline").body, reason);
  REQUIRE(timeline.has_value());
  CHECK(timeline->events[0].kind == EventKind::kStarted);
  CHECK(Send("GET", "/metrics").body.find("wisteriayoke_ready 0") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(
    OperatorsFixture,
    "a drain request is answered before the root is stopped, and only once") {
  CHECK(Send("POST", "/drain").head.status == 202);
  RunUntil([this] { return stops == 1; });
  state.draining = true;
  CHECK(Send("POST", "/drain").head.status == 202);
  CHECK(Send("GET", "/status").head.status == 200);
  CHECK(stops == 1);
}

TEST_CASE_FIXTURE(OperatorsFixture,
                  "a restart request names the child by its path") {
  CHECK(Send("POST", "/children/upstreams/pool/restart").head.status == 202);
  CHECK(restarted == "upstreams/pool");
  const auto refused = Send("POST", "/children/none/restart");
  CHECK(refused.head.status == 404);
  CHECK(refused.body.find("114") != std::string::npos);
  CHECK(Send("POST", "/children//restart").head.status == 404);
  CHECK(Send("POST", "/children/a%20b%2F%3F/restart").head.status == 404);
  CHECK(restarted == "a b/?");
  CHECK(Send("POST", "/children/a%zz/restart").head.status == 404);
  CHECK(restarted == "a b/?");
  CHECK(Send("GET", "/drain").head.status == 404);
}

}  // namespace wisteriayoke
