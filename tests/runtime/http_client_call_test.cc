#include "runtime/http_client_call.h"

#include <doctest/doctest.h>

#include <string>

#include "support/raw_server.h"

namespace wisteriayoke {
namespace {

const Endpoint kServer{"127.0.0.1", 29913};
const std::string kSound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

FetchResult FetchFrom(const std::string& bytes, std::size_t write_bytes,
                      const Endpoint& endpoint = kServer) {
  EventLoop loop;
  const RawServer server(loop, kServer, bytes, write_bytes);
  FetchResult result;
  FetchResponse(loop, endpoint, {}, {}, [&](FetchResult fetched) {
    result = std::move(fetched);
    loop.Stop();
  });
  loop.Run();
  return result;
}

}  // namespace

TEST_CASE("a call ends with the final answer or fails") {
  for (const std::size_t size : {1U, 20U, 1000U}) {
    CAPTURE(size);
    for (const std::string before :
         {"", "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nRecord-Version: 3\r\n\r\n"}) {
      CAPTURE(before);
      const FetchResult result = FetchFrom(before + kSound, size);
      CHECK(result.code == ResultCode::kOk);
      CHECK(result.response.head.status == 200);
      CHECK(result.response.head.fields.size() == 1);
      CHECK(result.response.body == "body");
      // It may have run.
      const FetchResult lost = FetchFrom(before, size);
      CHECK(lost.code == ResultCode::kConnectionBroken);
      CHECK(lost.sent);
    }
    for (const std::string head :
         {"000 Odd", "101 Odd", "600 Odd", "200 OK\r\nA: b\r\n Se ats: 12"}) {
      CAPTURE(head);
      const FetchResult result = FetchFrom(
          "HTTP/1.1 " + head + "\r\nContent-Length: 4\r\n\r\nbody", size);
      CHECK(result.code == ResultCode::kMalformedHttp);
      CHECK(result.response.body.empty());
      CHECK(result.sent);
    }
  }
}

// Guards against a call to this machine in place of an address that is none.
TEST_CASE("a call to no address fails") {
  for (const char* host : {"", "nowhere", "127.0.0.1 ", "127.0.0.256"}) {
    CAPTURE(std::string(host));
    const FetchResult result = FetchFrom(kSound, 1000, {host, kServer.port});
    CHECK(result.code == ResultCode::kConnectFailed);
    CHECK_FALSE(result.sent);
  }
}

}  // namespace wisteriayoke
