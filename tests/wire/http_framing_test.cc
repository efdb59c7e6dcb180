#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include "wire/http_request_parser.h"
#include "wire/http_response_parser.h"

namespace wisteriayoke {
namespace {

/// Header lines from which the end of a message can't be told, or on which
/// parsers differ.
constexpr auto kAmbiguousFields = std::to_array<const char*>({
    // The last coding isn't "chunked", or there are others.
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    // Empty and malformed lists.
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: ,\r\n",
    "Transfer-Encoding: chunked,\r\n",
    "Transfer-Encoding: ,chunked\r\n",
    "Transfer-Encoding: \"chunked\"\r\n",
    "Transfer-Encoding: chunked;q=1\r\n",
    "Transfer-Encoding: chunked gzip\r\n",
    "Transfer-Encoding: chun ked\r\n",
    // Two framings, or none that is certain.
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "Content-Length: 5, 6\r\n",
    "Content-Length: +5\r\n",
    "Content-Length: -5\r\n",
    "Content-Length: 0x5\r\n",
    "Content-Length:\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Transfer-Encoding\t: chunked\r\n",
});

const std::string kInner =
    "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
const std::string kInnerInChunks = "5\r\nhello\r\n0\r\n\r\n" + kInner;

/// Pushes `bytes` and returns the reason of the first failure, or kOk. Adds the
/// requests that were parsed to `requests`.
ResultCode ParseAll(const std::string& bytes,
                    std::vector<HttpRequest>& requests) {
  HttpRequestParser parser({});
  LastReason reason;
  parser.Push(bytes);
  while (auto request = parser.Next(reason)) requests.push_back(*request);
  return reason.code();
}

}  // namespace

// Guards against requests that a caller hides in the body of another one, whose
// end each parser sees elsewhere.
TEST_CASE("a request whose end can't be told is refused") {
  for (const char* fields : kAmbiguousFields) {
    CAPTURE(std::string(fields));
    for (const std::string& body : {kInner, kInnerInChunks}) {
      std::vector<HttpRequest> requests;
      CHECK(ParseAll("POST /outer HTTP/1.1\r\nHost: h\r\n" +
                         std::string(fields) + "\r\n" + body,
                     requests) == ResultCode::kMalformedHttp);
      CHECK(requests.empty());
    }
  }
}

TEST_CASE("a transfer coding in HTTP/1.0 is refused") {
  std::vector<HttpRequest> requests;
  CHECK(
      ParseAll("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
               requests) == ResultCode::kMalformedHttp);
  CHECK(requests.empty());
}

TEST_CASE("a request in chunks is taken whatever the case of the coding") {
  for (const char* value : {"chunked", "Chunked", "CHUNKED", "  chunked  "}) {
    CAPTURE(std::string(value));
    std::vector<HttpRequest> requests;
    CHECK(ParseAll("POST /outer HTTP/1.1\r\nTransfer-Encoding: " +
                       std::string(value) + "\r\n\r\n" + kInnerInChunks,
                   requests) == ResultCode::kOk);
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].body == "hello");
    CHECK(requests[1].target == "/inner");
  }
}

// Guards against an upstream's answer that passes for whole although its end
// can't be told.
TEST_CASE("an answer whose end can't be told is refused") {
  for (const char* fields : kAmbiguousFields) {
    CAPTURE(std::string(fields));
    const std::string bytes =
        "HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n" + kInnerInChunks;
    // Whether it arrives at once or byte by byte.
    for (const std::size_t part : {bytes.size(), std::size_t{1}}) {
      HttpResponseParser parser({.allow_close_delimited = true});
      LastReason reason;
      bool taken = true;
      for (std::size_t at = 0; taken && at < bytes.size(); at += part) {
        taken = parser.Push(bytes.substr(at, part), reason);
      }
      CHECK_FALSE(taken);
      CHECK(reason.code() == ResultCode::kMalformedHttp);
    }
  }
}

TEST_CASE("an answer in HTTP/1.0 may end with its connection, not in chunks") {
  LastReason reason;
  HttpResponseParser whole({.allow_close_delimited = true});
  REQUIRE(whole.Push("HTTP/1.0 200 OK\r\n\r\nhello", reason));
  CHECK(whole.PushEnd(reason));
  HttpResponseParser chunks({.allow_close_delimited = true});
  CHECK_FALSE(chunks.Push(
      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      reason));
}

}  // namespace wisteriayoke
