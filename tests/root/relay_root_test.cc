#include <doctest/doctest.h>

#include "supervisor/context/operators_codec.h"
#include "supervisor/root/root_supervisor.h"
#include "support/fake_row_store_server.h"

namespace wisteriayoke {
namespace {

constexpr std::uint16_t kReadyPort = 31705;

/// The tree of the relay interface with a fake store and a fake upstream.
struct RelayRootFixture : DaemonFixture {
  FakeRowStoreServer store{loop};
  std::shared_ptr<HttpServerSession> held;
  FakeServer upstream{loop, TestPorts::kUpstream,
                      [this](const HttpRequest& request,
                             const std::shared_ptr<HttpServerSession>& caller) {
                        if (request.target == "/seats/hold") {
                          held = caller;
                          return;
                        }
                        Answer(caller);
                      }};
  Settings relay_settings = MakeSettings();
  std::optional<LastReason> end;
  RootSupervisor root{loop, relay_settings,
                      [this](const LastReason& reason) { end = reason; }};

  RelayRootFixture() {
    store.Put("op", "config", R"({"Version":1,"Routes":[{"Name":"r","Host":"h",
      "Prefix":"/seats/","Kind":"idempotent","Service":"s","TimeoutMs":9000,
      "TargetLatencyMs":9000,"AllowAnonymous":true}],
      "Services":[{"Name":"s"}]})");
    store.Put("servers", "i-1",
              R"({"Service":"s","Zone":"a","Slots":6,"State":"ready",
                  "Address":")" +
                  LocalEndpoint(TestPorts::kUpstream).ToString() + R"("})");
    LastReason reason;
    REQUIRE_MESSAGE(root.Start(reason), reason.message());
    while (StatusOf(kReadyPort, "/-/ready") != 200) {
    }
  }
  ~RelayRootFixture() {
    if (end) return;
    root.RequestStop(StopSource::kSignal);
    RunUntil([this] { return end.has_value(); });
  }

  Settings MakeSettings() {
    LastReason reason;
    const auto made = Settings::Create(
        settings.Print() + "[front]\ninterface = relay\nready_address = " +
            LocalEndpoint(kReadyPort).ToString() +
            "\n[relay]\nstop_grace_s = 1.7\n",
        reason);
    REQUIRE_MESSAGE(made.has_value(), reason.message());
    return *made;
  }

  static void Answer(const std::shared_ptr<HttpServerSession>& caller) {
    caller->Respond(
        {{200, {{"Attempt-Id", "a1"}, {"Response-Seal", "s"}}}, "good"});
  }

  int StatusOf(std::uint16_t port, const std::string& target) {
    return Fetch(port, {.target = target}).response.head.status;
  }

  HttpRequest MakeRequest(const std::string& target) {
    return {.target = target, .fields = {{"Host", "h"}, {"Attempt-Id", "a1"}}};
  }

  std::vector<ChildStatus> ListChildren() {
    LastReason reason;
    const auto answer = Fetch(TestPorts::kOperators, {.target = "/status"});
    const auto status = ParseDaemonStatus(answer.response.body, reason);
    REQUIRE_MESSAGE(status.has_value(), reason.message());
    return status->children;
  }
};

}  // namespace

TEST_CASE_FIXTURE(
    RelayRootFixture,
    "each child of the relay is restarted without loss of a request") {
  std::optional<FetchResult> answer;
  FetchResponse(loop, LocalEndpoint(TestPorts::kFront),
                MakeRequest("/seats/hold"), {},
                [&answer](const FetchResult& result) { answer = result; });
  RunUntil([this] { return held != nullptr; });
  const auto children = ListChildren();
  CHECK(children.size() == 6);
  for (const auto& child : children) {
    CAPTURE(child.path);
    CHECK(Fetch(TestPorts::kOperators,
                {.method = "POST",
                 .target = "/children/" + child.path + "/restart"})
              .response.head.status == 202);
    for (const auto& after : ListChildren()) {
      if (after.path == child.path) CHECK(after.restarts == 1);
    }
    CHECK(StatusOf(kReadyPort, "/-/ready") == 200);
    CHECK(Fetch(TestPorts::kFront, MakeRequest("/seats/1")).response.body ==
          "good");
  }
  CHECK_FALSE(answer.has_value());
  Answer(held);
  RunUntil([&answer] { return answer.has_value(); });
  CHECK(answer->response.body == "good");
}

TEST_CASE_FIXTURE(
    RelayRootFixture,
    "a stopping relay reports not ready, still serves, and ends") {
  std::optional<FetchResult> answer;
  FetchResponse(loop, LocalEndpoint(TestPorts::kFront),
                MakeRequest("/seats/hold"), {},
                [&answer](const FetchResult& result) { answer = result; });
  RunUntil([this] { return held != nullptr; });
  root.RequestStop(StopSource::kSignal);
  CHECK(StatusOf(kReadyPort, "/-/ready") == 503);
  CHECK(Fetch(TestPorts::kFront, MakeRequest("/seats/1")).response.body ==
        "good");
  Answer(held);
  RunUntil([&answer] { return answer.has_value(); });
  CHECK(answer->response.body == "good");
  RunUntil([this] { return end.has_value(); });
  CHECK(end->code() == ResultCode::kOk);
}

// Guards against the platform's only signal cutting all answers at once because
// an operator's drain came before it, and against a deadline that still counts
// from the drain.
TEST_CASE_FIXTURE(
    RelayRootFixture,
    "the signal after a drain gives requests in flight its whole deadline") {
  // The deadline is the grace period of 1.7 s less 0.7 s.
  constexpr Duration kSignalAt = std::chrono::milliseconds(600);
  constexpr Duration kAnswerAt = std::chrono::milliseconds(1200);
  std::optional<FetchResult> answer;
  FetchResponse(loop, LocalEndpoint(TestPorts::kFront),
                MakeRequest("/seats/hold"), {},
                [&answer](const FetchResult& result) { answer = result; });
  RunUntil([this] { return held != nullptr; });
  const HttpRequest drain{.method = "POST", .target = "/drain"};
  CHECK(Fetch(TestPorts::kOperators, drain).response.head.status == 202);
  const TimePoint drained_at = loop.Now();
  RunUntil([&] { return loop.Now() >= drained_at + kSignalAt; });
  root.RequestStop(StopSource::kSignal);
  RunUntil([&] { return loop.Now() >= drained_at + kAnswerAt; });
  CHECK_FALSE(answer.has_value());
  Answer(held);
  RunUntil([&answer] { return answer.has_value(); });
  CHECK(answer->response.body == "good");
  RunUntil([this] { return end.has_value(); });
  CHECK(end->code() == ResultCode::kOk);
}

TEST_CASE_FIXTURE(RelayRootFixture, "a reload of the settings is recorded") {
  root.Reload(relay_settings);
  bool recorded = false;
  for (const auto& event : root.timeline().events()) {
    recorded = recorded || event.kind == EventKind::kReloaded;
  }
  CHECK(recorded);
}

// Guards against metrics that grow with the names in entries of other writers.
TEST_CASE_FIXTURE(RelayRootFixture,
                  "metrics name the pools of the tables alone") {
  const auto add = [this](const std::string& name, const std::string& pool) {
    store.Put("servers", name,
              R"({"Service":")" + pool +
                  R"(","Zone":"a","Slots":6,"State":"ready",
                  "Address":"127.0.0.1:1"})");
  };
  add("i-0", "elsewhere");
  add("i-2", "s");
  std::string metrics;
  while (metrics.find(R"(pool="s",health="healthy"} 2)") == std::string::npos) {
    metrics =
        Fetch(TestPorts::kOperators, {.target = "/metrics"}).response.body;
  }
  CHECK(metrics.find("elsewhere") == std::string::npos);
}

}  // namespace wisteriayoke
