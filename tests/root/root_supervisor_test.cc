#include "supervisor/root/root_supervisor.h"

#include <doctest/doctest.h>

#include "supervisor/context/operators_codec.h"
#include "support/daemon_fixture.h"

namespace wisteriayoke {
namespace {

/// A whole tree with a fake store and a fake service.
struct RootFixture : DaemonFixture {
  static constexpr int kMaxTries = 1000;

  FakeTableStore store;
  FakeServer platform = store.Serve(loop);
  std::shared_ptr<HttpServerSession> held;
  FakeServer service{loop, TestPorts::kUpstream,
                     [this](const HttpRequest& request,
                            std::shared_ptr<HttpServerSession> caller) {
                       if (request.target == "/seats/hold") {
                         held = std::move(caller);
                         return;
                       }
                       caller->Respond({{200, {}}, "good"});
                     }};
  std::optional<LastReason> end;
  RootSupervisor root{loop, settings,
                      [this](const LastReason& reason) { end = reason; }};

  RootFixture() {
    store.Set(1, MakeTestTables());
    LastReason reason;
    REQUIRE_MESSAGE(root.Start(reason), reason.message());
    bool ready = false;
    for (int i = 0; i < kMaxTries && !ready; ++i) ready = Status().ready;
    REQUIRE(ready);
  }
  ~RootFixture() {
    if (end) return;
    root.RequestStop(StopSource::kSignal);
    RunUntil([this] { return end.has_value(); });
  }

  DaemonStatus Status() {
    LastReason reason;
    return ParseDaemonStatus(Fetch(TestPorts::kOperators, {.target = "/status"})
                                 .response.body,
                             reason)
        .value_or(DaemonStatus{});
  }

  FetchResult Call(const std::string& target) {
    return Fetch(
        TestPorts::kFront,
        {.target = target, .fields = {{"Wisteriayoke-Workspace", "volta"}}});
  }

  int Restart(const std::string& path) {
    return Fetch(TestPorts::kOperators,
                 {.method = "POST", .target = "/children/" + path + "/restart"})
        .response.head.status;
  }

  std::uint64_t RestartsOf(const std::string& path) {
    for (const auto& child : Status().children) {
      if (child.path == path && child.running) return child.restarts;
    }
    return 0;
  }

  /// Sends a request that the service holds until the test answers it.
  std::shared_ptr<std::optional<FetchResult>> StartHeldCall() {
    auto answer = std::make_shared<std::optional<FetchResult>>();
    FetchResponse(loop, LocalEndpoint(TestPorts::kFront),
                  {.target = "/seats/hold",
                   .fields = {{"Wisteriayoke-Workspace", "volta"}}},
                  {},
                  [answer](const FetchResult& result) { *answer = result; });
    RunUntil([this] { return held != nullptr; });
    return answer;
  }
};

}  // namespace

TEST_CASE_FIXTURE(RootFixture,
                  "each child is restarted without loss of a request") {
  const auto answer = StartHeldCall();
  for (const auto& child : Status().children) {
    CAPTURE(child.path);
    CHECK(Restart(child.path) == 202);
    const bool below_restarted = child.path.find('/') != std::string::npos;
    if (!below_restarted) CHECK(RestartsOf(child.path) == 1);
    CHECK(Status().ready);
    CHECK(Call("/seats").response.body == "good");
  }
  CHECK_FALSE(answer->has_value());
  held->Respond({{200, {}}, "held"});
  RunUntil([&] { return answer->has_value(); });
  CHECK((*answer)->response.body == "held");
}

TEST_CASE_FIXTURE(RootFixture, "a planned stop waits for requests in flight") {
  const auto answer = StartHeldCall();
  CHECK(Restart("front") == 202);
  root.RequestStop(StopSource::kSignal);
  int turns = 0;
  RunUntil([&turns] { return ++turns > 20; });
  CHECK_FALSE(end.has_value());
  held->Respond({{200, {}}, "held"});
  RunUntil([this] { return end.has_value(); });
  CHECK(end->code() == ResultCode::kOk);
  RunUntil([&] { return answer->has_value(); });
  CHECK((*answer)->response.body == "held");
}

TEST_CASE_FIXTURE(RootFixture,
                  "a second stop request terminates the remaining requests") {
  const auto answer = StartHeldCall();
  root.RequestStop(StopSource::kSignal);
  root.RequestStop(StopSource::kSignal);
  RunUntil([&] { return end.has_value() && answer->has_value(); });
  CHECK(end->code() == ResultCode::kShutdownCut);
  const HttpResponseHead& head = (*answer)->response.head;
  CHECK(head.status == 503);
  CHECK(FindField(head.fields, "Wisteriayoke-Code") == "706");
  CHECK(FindField(head.fields, "Wisteriayoke-Outcome") == "unknown");
}

TEST_CASE_FIXTURE(RootFixture,
                  "a root that reaches the restart limit reports the child") {
  for (int i = 0; i <= 5; ++i) Restart("table-service");
  RunUntil([this] { return end.has_value(); });
  CHECK(end->code() == ResultCode::kRestartLimitReached);
  CHECK(end->message().find("table-service") != std::string::npos);
}

TEST_CASE_FIXTURE(
    DaemonFixture,
    "a start with an address in use fails and names the address") {
  FakeServer taken(
      loop, TestPorts::kFront,
      [](const HttpRequest&, const std::shared_ptr<HttpServerSession>&) {});
  RootSupervisor root(loop, settings, [](const LastReason&) {});
  LastReason reason;
  CHECK_FALSE(root.Start(reason));
  CHECK(reason.code() == ResultCode::kAddressInUse);
  CHECK(reason.message().find("31700") != std::string::npos);
}

}  // namespace wisteriayoke
