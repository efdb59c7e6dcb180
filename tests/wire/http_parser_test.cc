#include <doctest/doctest.h>

#include <string>

#include "wire/http_encode.h"
#include "wire/http_request_parser.h"
#include "wire/http_response_parser.h"

namespace wisteriayoke {

TEST_CASE("a request is parsed if its bytes arrive one by one") {
  const std::string bytes = EncodeRequest(
      {.method = "POST", .target = "/x", .body = "hello"}, "127.0.0.1:1");
  HttpRequestParser parser({});
  LastReason reason;
  std::optional<HttpRequest> request;
  for (const char byte : bytes) {
    REQUIRE_FALSE(request.has_value());
    parser.Push({&byte, 1});
    request = parser.Next(reason);
  }
  REQUIRE(request.has_value());
  CHECK(request->body == "hello");
  CHECK(request->target == "/x");
}

// Guards against a caller's odd request that ends the process: a library throws
// for a body where HTTP allows none.
TEST_CASE("a message with a body that HTTP doesn't allow is encoded") {
  for (const char* method : {"TRACE", "GET", "HEAD", "BREW"}) {
    CAPTURE(method);
    HttpRequestParser parser({});
    LastReason reason;
    parser.Push(EncodeRequest({.method = method, .target = "/x", .body = "odd"},
                              "127.0.0.1:1"));
    const auto request = parser.Next(reason);
    REQUIRE(request.has_value());
    CHECK(request->method == method);
    CHECK(request->body == "odd");
  }
  for (const int status : {103, 204, 304}) {
    CAPTURE(status);
    const std::string bytes =
        EncodeResponse({{status, {}}, "odd"}, true, false);
    CHECK(bytes.ends_with("\r\n\r\n"));
  }
}

// Guards against a header field that ends the process: Beast throws for names
// and values that it can't store.
TEST_CASE("a header field of any length is parsed or refused") {
  constexpr std::uint32_t kHeaderLimit = 1024 * 1024;
  for (const std::size_t size :
       {60'000U, 65'533U, 65'534U, 65'536U, 200'000U}) {
    const std::string text(size, 'a');
    for (const std::string& field : {"A: " + text, text + ": a"}) {
      CAPTURE(size);
      LastReason reason;
      HttpRequestParser requests({.header_bytes = kHeaderLimit});
      requests.Push("GET / HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n");
      const bool parsed = requests.Next(reason).has_value();
      CHECK(parsed != (reason.code() == ResultCode::kHeaderTooLarge));
      CHECK(parsed == (size <= 65'533U));
      reason.Clear();
      HttpResponseParser responses({.header_bytes = kHeaderLimit}, false);
      const bool taken = responses.Push(
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + field + "\r\n\r\n",
          reason);
      CHECK(taken == (size <= 65'533U));
    }
  }
}

TEST_CASE("only requests that usually have a body tell that theirs is empty") {
  for (const char* method : {"POST", "PUT", "GET", "DELETE"}) {
    CAPTURE(method);
    const std::string bytes =
        EncodeRequest({.method = method, .target = "/x"}, "127.0.0.1:1");
    const bool has_length =
        bytes.find("Content-Length: 0\r\n") != std::string::npos;
    CHECK(has_length == (method[0] == 'P'));
  }
}

TEST_CASE("a header field continued on the next line is refused") {
  for (const char* fold : {"\r\n b", "\r\n\tb"}) {
    HttpRequestParser parser({});
    LastReason reason;
    parser.Push("GET / HTTP/1.1\r\nHost: h\r\nX: a" + std::string(fold) +
                "\r\n\r\n");
    CHECK_FALSE(parser.Next(reason).has_value());
    CHECK(reason.code() == ResultCode::kMalformedHttp);
  }
}

TEST_CASE("the answer to a HEAD has a length and no body") {
  const HttpResponse response{{503, {}}, "refused\n"};
  const std::string bytes = EncodeResponse(response, true, true);
  CHECK(bytes.find("Content-Length: 8\r\n") != std::string::npos);
  CHECK(bytes.ends_with("\r\n\r\n"));
  HttpResponseParser parser({}, true);
  LastReason reason;
  REQUIRE(parser.Push(bytes, reason));
  CHECK(parser.done());
}

TEST_CASE("input that exceeds a limit or isn't HTTP is refused with its code") {
  HttpRequestParser parser({.header_bytes = 64, .body_bytes = 4});
  LastReason reason;
  SUBCASE("body") {
    parser.Push("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
    CHECK_FALSE(parser.Next(reason).has_value());
    CHECK(reason.code() == ResultCode::kBodyTooLarge);
  }
  SUBCASE("header") {
    parser.Push("GET / HTTP/1.1\r\nA: " + std::string(100, 'a'));
    CHECK_FALSE(parser.Next(reason).has_value());
    CHECK(reason.code() == ResultCode::kHeaderTooLarge);
  }
  SUBCASE("not HTTP") {
    parser.Push("hello there\r\n\r\n");
    CHECK_FALSE(parser.Next(reason).has_value());
    CHECK(reason.code() == ResultCode::kMalformedHttp);
  }
}

// Guards against framing without an end, which held twice the body limit.
TEST_CASE("a line between chunks and a trailer are bounded by the header") {
  const std::string header =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* start : {"1;e=", "1\r\nx\r\n0\r\nT: "}) {
    for (const std::size_t piece : {1U, 50U, 4000U}) {
      CAPTURE(start);
      CAPTURE(piece);
      HttpRequestParser parser({.header_bytes = 100, .body_bytes = 100'000});
      LastReason reason;
      const std::string bytes = header + start + std::string(4000, 'e');
      for (std::size_t i = 0;
           i < bytes.size() && reason.code() == ResultCode::kOk; i += piece) {
        parser.Push(bytes.substr(i, piece));
        CHECK_FALSE(parser.Next(reason).has_value());
      }
      CHECK(reason.code() == ResultCode::kHeaderTooLarge);
    }
  }
}

// Guards against input that stays in memory after it was parsed.
TEST_CASE("the parser holds the body and no more once input is parsed") {
  constexpr std::size_t kChunks = 10'000;
  constexpr std::size_t kOverhead = 4096;
  HttpRequestParser parser({});
  LastReason reason;
  parser.Push("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (std::size_t i = 0; i < kChunks; ++i) {
    parser.Push("1;extension=value\r\nx\r\n");
    CHECK_FALSE(parser.Next(reason).has_value());
  }
  // The end of the last chunk's line is parsed with the next line.
  CHECK(parser.CountUnparsedBytes() <= 2);
  CHECK(parser.CountHeldBytes() >= kChunks);
  CHECK(parser.CountHeldBytes() <= 2 * kChunks + kOverhead);
  parser.Push("0\r\n\r\n");
  const auto request = parser.Next(reason);
  REQUIRE(request.has_value());
  CHECK(request->body.size() == kChunks);
  CHECK(parser.CountHeldBytes() <= kOverhead);
}

// Guards against memory that a header takes and the budget doesn't see, and
// against a body that counts before it has arrived.
TEST_CASE("held bytes follow the header fields and the body so far") {
  HttpRequestParser parser({.header_bytes = 65'536, .body_bytes = 8'000'000});
  LastReason reason;
  std::string header = "POST / HTTP/1.1\r\nContent-Length: 8000000\r\n";
  for (int i = 0; i < 1000; ++i) header += "a:\r\n";
  parser.Push(header + "\r\n");
  CHECK_FALSE(parser.Next(reason).has_value());
  CHECK(reason.code() == ResultCode::kOk);
  CHECK(parser.CountHeldBytes() >= 64'000);
  CHECK(parser.CountHeldBytes() <= 400'000);
}

TEST_CASE(
    "a chunked response returns data as it arrives and needs its last chunk") {
  HttpResponseParser parser({});
  LastReason reason;
  REQUIRE(parser.Push(EncodeChunkedHead({200, {}}, false), reason));
  REQUIRE(parser.Push(EncodeChunk("one"), reason));
  CHECK(parser.TakeBody() == "one");
  SUBCASE("it is complete with the last chunk") {
    REQUIRE(parser.Push(EncodeChunk("two") + EncodeLastChunk(), reason));
    CHECK(parser.TakeBody() == "two");
    CHECK(parser.done());
  }
  SUBCASE("the end of the connection without the last chunk is an error") {
    CHECK_FALSE(parser.PushEnd(reason));
    CHECK(reason.code() == ResultCode::kConnectionBroken);
  }
}

TEST_CASE(
    "a response without length or chunks is incomplete when its connection "
    "ends") {
  HttpResponseParser parser({});
  LastReason reason;
  REQUIRE(parser.Push("HTTP/1.1 200 OK\r\n\r\nhold", reason));
  CHECK_FALSE(parser.done());
  CHECK_FALSE(parser.PushEnd(reason));
  CHECK(reason.code() == ResultCode::kConnectionBroken);
}

}  // namespace wisteriayoke
