#include "ctl/blocking_http.h"

#include <doctest/doctest.h>

#include <string>

#include "support/daemon_fixture.h"
#include "support/raw_server.h"

namespace wisteriayoke {
namespace {

const std::string kSound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

/// Fetches from a server that answers with `bytes`.
std::optional<HttpResponse> FetchFrom(const std::string& bytes,
                                      LastReason& reason) {
  EventLoop loop;
  const Endpoint endpoint = LocalEndpoint(TestPorts::kOperators);
  const RawServer server(loop, endpoint, bytes, 16);
  return FetchBlocking(loop, endpoint, {}, std::chrono::milliseconds(500),
                       reason);
}

}  // namespace

TEST_CASE("the tool gets an answer, also after interim responses") {
  for (const std::string before :
       {"", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n"}) {
    CAPTURE(before);
    LastReason reason;
    const auto answer = FetchFrom(before + kSound, reason);
    REQUIRE_MESSAGE(answer.has_value(), reason.message());
    CHECK(answer->head.status == 200);
    CHECK(answer->head.fields.size() == 1);
    CHECK(answer->body == "body");
  }
}

// Guards against a command that counts as carried out after a broken answer.
TEST_CASE("a broken answer is none for the tool") {
  const std::string fields = "Content-Length: 4\r\n\r\nbody";
  for (const std::string head :
       {"000 Odd", "099 Odd", "101 Odd", "199 Odd", "600 Odd", "999 Odd",
        "200 OK\r\nSe ats: 12", "200 OK\r\nSe\bats:", "200 OK\r\nSeats : 12",
        "200 OK\r\nSeats", "200 OK\r\n Seats: 12", "200 OK\r\nA: b\r\n c"}) {
    CAPTURE(head);
    LastReason reason;
    CHECK_FALSE(FetchFrom("HTTP/1.1 " + head + "\r\n" + fields, reason));
    CHECK(reason.code() == ResultCode::kConnectionBroken);
  }
}

TEST_CASE("the tool tells a server that can't be reached from a silent one") {
  LastReason reason;
  const Endpoint endpoint = LocalEndpoint(TestPorts::kOperators);
  CHECK_FALSE(FetchBlocking(endpoint, {}, std::chrono::seconds(1), reason));
  CHECK(reason.code() == ResultCode::kConnectFailed);
  EventLoop loop;
  // The kernel accepts the connection.
  const RawServer server(loop, endpoint, "", 1);
  CHECK_FALSE(
      FetchBlocking(endpoint, {}, std::chrono::milliseconds(50), reason));
  CHECK(reason.code() == ResultCode::kTimedOut);
}

}  // namespace wisteriayoke
