#ifndef WISTERIAYOKE_TESTS_SUPPORT_DAEMON_FIXTURE_H_
#define WISTERIAYOKE_TESTS_SUPPORT_DAEMON_FIXTURE_H_

#include <doctest/doctest.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "runtime/http_client_call.h"
#include "runtime/http_server.h"
#include "supervisor/context/daemon_context.h"
#include "wire/digest.h"
#include "wire/table_head_codec.h"

namespace wisteriayoke {

/// Ports of the addresses that `DaemonFixture` configures.
struct TestPorts {
  static constexpr std::uint16_t kFront = 31700;
  static constexpr std::uint16_t kOperators = 31701;
  static constexpr std::uint16_t kPeers = 31702;
  static constexpr std::uint16_t kPlatform = 31703;
  static constexpr std::uint16_t kUpstream = 31704;
};

/// Returns a loopback address derived from the process id, so that test
/// programs that run at the same time on one machine don't share addresses.
inline std::string LocalHost() {
  constexpr int kValues = 256;
  const int number = getpid();
  return "127." + std::to_string(number / kValues % kValues) + "." +
         std::to_string(number % kValues) + ".1";
}

inline Endpoint LocalEndpoint(std::uint16_t port) {
  return {LocalHost(), port};
}

inline Settings MakeTestSettings() {
  const auto address = [](std::uint16_t port) {
    return "]\naddress = " + LocalEndpoint(port).ToString() + "\n";
  };
  LastReason reason;
  const auto settings = Settings::Create(
      "[daemon]\nname = d1\ndata_centre = accra-1\nlog_level = error\n"
      "[front" +
          address(TestPorts::kFront) + "[operators" +
          address(TestPorts::kOperators) + "[peers" +
          address(TestPorts::kPeers) + "[platform" +
          address(TestPorts::kPlatform) +
          "head_poll_ms = 20\n[upstreams]\nload_poll_ms = 10\n",
      reason);
  REQUIRE_MESSAGE(settings.has_value(), reason.message());
  return *settings;
}

/// The loop, settings and state with which children of a daemon are created.
struct DaemonFixture {
  EventLoop loop;
  Settings settings = MakeTestSettings();
  DaemonState state;

  DaemonContext Context() { return {loop, settings, state}; }

  /// Runs the loop until `done` returns true; fails after five seconds.
  void RunUntil(const std::function<bool()>& done) {
    bool timed_out = false;
    const auto limit = loop.Schedule(std::chrono::seconds(5), [&] {
      timed_out = true;
      loop.Stop();
    });
    LoopTimerPtr timer;
    const std::function<void()> check = [&] {
      if (done()) return loop.Stop();
      timer = loop.Schedule(std::chrono::milliseconds(1), check);
    };
    loop.Post(check);
    loop.context().restart();
    loop.Run();
    REQUIRE_FALSE(timed_out);
  }

  /// Sends `request` and runs the loop until the response is complete or fails.
  FetchResult Fetch(std::uint16_t port, HttpRequest request) {
    std::optional<FetchResult> answer;
    FetchResponse(
        loop, LocalEndpoint(port), std::move(request), {},
        [&answer](FetchResult result) { answer = std::move(result); });
    RunUntil([&answer] { return answer.has_value(); });
    return std::move(*answer);
  }
};

/// An HTTP server whose answers are given by a handler of the test.
class FakeServer {
 public:
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpServerSession>)>;

  FakeServer(EventLoop& loop, std::uint16_t port, Handler handler) {
    LastReason reason;
    server_ = HttpServer::Create(
        loop, LocalEndpoint(port), {}, std::move(handler),
        [](const LastReason&) {
          return HttpResponse{{400, {}}, ""};
        },
        reason);
    REQUIRE_MESSAGE(server_ != nullptr, reason.message());
  }
  ~FakeServer() {
    server_->StopAccepting();
    server_->TerminateSessions();
  }
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

 private:
  std::shared_ptr<HttpServer> server_;
};

/// A store that holds one version of the tables, which a test may replace.
struct FakeTableStore {
  TableHead head;
  std::string content;
  bool damaged = false;

  void Set(std::uint64_t number, std::string tables) {
    content = std::move(tables);
    head.version = {number, ComputeDigest(content)};
  }

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpServerSession>& caller) const {
    if (request.target == "/records/tables/head" && head.version.number > 0) {
      return caller->Respond(
          {{200, {{"Record-Version", "1"}}}, FormatTableHeadRecord(head)});
    }
    if (request.target == "/objects/" + head.version.hash) {
      return caller->Respond({{200, {}}, damaged ? "damaged" : content});
    }
    caller->Respond({{404, {{"Record-Version", "0"}}}, ""});
  }

  FakeServer Serve(EventLoop& loop) {
    return FakeServer(loop, TestPorts::kPlatform,
                      [this](const HttpRequest& request,
                             const std::shared_ptr<HttpServerSession>& caller) {
                        Handle(request, caller);
                      });
  }
};

/// Returns tables with one service pool of one upstream at
/// `TestPorts::kUpstream`.
inline std::string MakeTestTables() {
  return R"({"workspaces":[{"name":"volta"}],
    "routes":[{"name":"seats","prefix":"/seats","pool":"booking",
               "kind":"service","deadline_ms":2000}],
    "pools":[{"name":"booking","kind":"service","upstreams":[
      {"name":"service1","address":")" +
         LocalEndpoint(TestPorts::kUpstream).ToString() + R"("}]}]})";
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_SUPPORT_DAEMON_FIXTURE_H_
