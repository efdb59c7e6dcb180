#include "base/fault.h"

#include <doctest/doctest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "runtime/http_client_call.h"
#include "runtime/http_server.h"
#include "runtime/udp_endpoint.h"

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;

const Endpoint kServer{"127.0.0.1", 29921};

[[noreturn]] void Throw() { throw std::length_error("unexpected input"); }

/// Records the faults that the boundaries catch. A boundary that doesn't catch
/// one ends the test program.
struct FaultFixture {
  EventLoop loop;
  std::vector<FaultBoundary> faults;

  FaultFixture() {
    SetFaultHandler([this](FaultBoundary boundary, std::string_view text) {
      CHECK(text == "unexpected input");
      faults.push_back(boundary);
    });
  }
  ~FaultFixture() {
    SetFaultHandler([](FaultBoundary, std::string_view) { std::abort(); });
  }

  void RunFor(Duration time) {
    const auto stop = loop.Schedule(time, [this] { loop.Stop(); });
    loop.context().restart();
    loop.Run();
  }

  /// Fetches `target` and returns the result, or nullopt after 500 ms.
  std::optional<FetchResult> Fetch(const std::string& target) {
    std::optional<FetchResult> result;
    FetchResponse(loop, kServer, {.target = target}, {},
                  [&](FetchResult fetched) {
                    result = std::move(fetched);
                    loop.Stop();
                  });
    RunFor(milliseconds(500));
    return result;
  }

  std::shared_ptr<HttpServer> Serve() {
    LastReason reason;
    auto server = HttpServer::Create(
        loop, kServer, {},
        [](const HttpRequest& request,
           const std::shared_ptr<HttpServerSession>& session) {
          if (request.target == "/fault") Throw();
          session->Respond({{200, {}}, "sound"});
        },
        [](const LastReason&) {
          return HttpResponse{{400, {}}, ""};
        },
        reason);
    REQUIRE_MESSAGE(server != nullptr, reason.message());
    return server;
  }
};

}  // namespace

// Guards against an input that makes a library throw and so ends the process.
TEST_CASE_FIXTURE(FaultFixture,
                  "a fault in a request costs its own connection only") {
  const auto server = Serve();
  const auto failed = Fetch("/fault");
  REQUIRE(failed.has_value());
  CHECK(failed->code == ResultCode::kConnectionBroken);
  const auto sound = Fetch("/sound");
  REQUIRE(sound.has_value());
  CHECK(sound->response.body == "sound");
  CHECK(faults == std::vector{FaultBoundary::kServerSession});
  server->StopAccepting();
}

TEST_CASE_FIXTURE(FaultFixture,
                  "a fault in the answer to a call ends that call only") {
  const auto server = Serve();
  FetchResponse(loop, kServer, {.target = "/sound"}, {},
                [](const FetchResult&) { Throw(); });
  const auto sound = Fetch("/sound");
  REQUIRE(sound.has_value());
  CHECK(sound->response.body == "sound");
  CHECK(faults == std::vector{FaultBoundary::kClientCall});
  server->StopAccepting();
}

TEST_CASE_FIXTURE(FaultFixture, "a fault in a datagram costs that one only") {
  LastReason reason;
  std::vector<std::string> received;
  const auto endpoint = UdpEndpoint::Create(
      loop, kServer,
      [&received](std::string_view data, const Endpoint&) {
        if (data == "fault") Throw();
        received.emplace_back(data);
      },
      reason);
  REQUIRE_MESSAGE(endpoint != nullptr, reason.message());
  for (const char* data : {"a", "fault", "b"}) endpoint->Send(data, kServer);
  RunFor(milliseconds(50));
  CHECK(received == std::vector<std::string>{"a", "b"});
  CHECK(faults == std::vector{FaultBoundary::kDatagram});
  endpoint->Close();
}

TEST_CASE_FIXTURE(FaultFixture, "a fault in any other call ends that only") {
  bool ran = false;
  loop.Post(Throw);
  const auto timer = loop.Schedule(milliseconds(5), Throw);
  const auto later = loop.Schedule(milliseconds(10), [&ran] { ran = true; });
  RunFor(milliseconds(50));
  CHECK(ran);
  CHECK(faults == std::vector{FaultBoundary::kLoop, FaultBoundary::kLoop});
}

}  // namespace wisteriayoke
