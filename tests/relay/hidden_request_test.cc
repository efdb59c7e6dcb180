#include <doctest/doctest.h>

#include <string>

#include "relay/relay_fixture.h"
#include "support/raw_caller.h"

namespace wisteriayoke {

// Guards against a request that runs although it is a part of another one's
// body.
TEST_CASE_FIXTURE(RelayFixture,
                  "what follows a request without a clear end never runs") {
  const std::string head =
      "POST /hold/outer HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"
      "Authorization: Bearer k1\r\n";
  const std::string inner =
      "POST /hold/inner HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\n"
      "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";
  std::string coding;
  SUBCASE("unknown coding") { coding = "gzip"; }
  SUBCASE("chunks inside another coding") { coding = "chunked, gzip"; }
  SUBCASE("empty list") { coding = ""; }
  RawCaller caller(loop, LocalEndpoint(TestPorts::kFront));
  caller.Send(head + "Transfer-Encoding: " + coding + "\r\n\r\n" + inner);
  RunUntil([&caller] { return caller.closed(); });
  CHECK(caller.received().starts_with("HTTP/1.1 400 "));
  // There is no answer to the inner request.
  CHECK(caller.received().find("HTTP/1.1 2") == std::string::npos);
  CHECK(caller.received().find("HTTP/1.1 4", 1) == std::string::npos);
  CHECK(seen.empty());
}

}  // namespace wisteriayoke
