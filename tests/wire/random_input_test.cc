#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "wire/completion_codec.h"
#include "wire/engine_codec.h"
#include "wire/http_encode.h"
#include "wire/http_request_parser.h"
#include "wire/http_response_parser.h"
#include "wire/table_codec.h"
#include "wire/table_head_codec.h"

namespace wisteriayoke {
namespace {

/// Draws a piece of text, often one that lets an input pass the first checks.
std::string DrawFragment() {
  return *rc::gen::oneOf(
      rc::gen::arbitrary<std::string>(),
      rc::gen::element<std::string>(
          "POST / HTTP/1.1\r\n", "GET /x HTTP/1.0\r\n", "HTTP/1.1 200 OK\r\n",
          "Content-Length: 4\r\n", "Content-Length: 99999999999999999999\r\n",
          "Content-Length: -1\r\n", "Transfer-Encoding: chunked\r\n", "\r\n",
          "4\r\nabcd\r\n", "0\r\n\r\n", "ffffffffffffffff\r\n"),
      rc::gen::element<std::string>(
          "{", "}", "[", "]", "\"model\":", "\"prompt\":", "\"messages\":",
          "\"max_tokens\":", "\"routes\":", "\"pools\":", "\"upstreams\":",
          "\"version\":", "\"hash\":", "\"x\"", ",", "1e999", "-1", "null",
          "\"\xff\"", "18446744073709551616", "true"));
}

std::string DrawInput() {
  std::string input;
  const int fragments = *rc::gen::inRange(0, 12);
  for (int i = 0; i < fragments; ++i) input += DrawFragment();
  return input;
}

/// Requests and result code of one connection's parser.
struct ParseResult {
  std::vector<std::string> requests;
  ResultCode code = ResultCode::kOk;
};

std::string Describe(const HttpRequest& request) {
  std::string text = request.method + " " + request.target;
  for (const auto& field : request.fields) {
    text += "\n" + field.name + ": " + field.value;
  }
  return text + "\n\n" + request.body;
}

constexpr HttpLimits kLimits{.header_bytes = 512, .body_bytes = 64};

/// Adds all complete requests to `result`; returns false if input is refused.
bool ReadRequests(HttpRequestParser& parser, ParseResult& result) {
  LastReason reason;
  while (auto request = parser.Next(reason)) {
    result.requests.push_back(Describe(*request));
  }
  result.code = reason.code();
  return reason.code() == ResultCode::kOk;
}

/// Parses `input` in pieces of the given sizes, which are repeated as needed.
ParseResult ParsePieces(const std::string& input,
                        const std::vector<std::size_t>& sizes) {
  HttpRequestParser parser(kLimits);
  ParseResult result;
  const std::string_view bytes = input;
  std::size_t offset = 0;
  for (std::size_t i = 0; offset < input.size(); ++i) {
    const std::size_t size = sizes[i % sizes.size()];
    parser.Push(bytes.substr(offset, size));
    if (!ReadRequests(parser, result)) break;
    offset += size;
  }
  return result;
}

/// Draws requests that are well-formed, over a limit or malformed.
std::string DrawRequests() {
  std::string bytes;
  const int count = *rc::gen::inRange(1, 4);
  for (int i = 0; i < count; ++i) {
    const HttpRequest request{
        .method = *rc::gen::element<std::string>("GET", "POST", "PURGE"),
        .target = *rc::gen::element<std::string>("/", "/a?b=c", "/v1/x"),
        .fields = {{"A", std::string(*rc::gen::inRange(0, 600), 'a')}},
        .body = std::string(*rc::gen::inRange(0, 80), 'b')};
    bytes += EncodeRequest(request, "127.0.0.1:1");
  }
  if (*rc::gen::inRange(0, 3) == 0) bytes.insert(bytes.size() / 2, DrawInput());
  return bytes;
}

}  // namespace

TEST_CASE("the parser's result doesn't depend on how the bytes are split") {
  CHECK(rc::check("cuts", [] {
    const std::string input = DrawRequests();
    const auto sizes =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(1, 200)));
    const ParseResult whole = ParsePieces(input, {input.size()});
    const ParseResult pieces = ParsePieces(input, sizes);
    RC_ASSERT(whole.requests == pieces.requests);
    RC_ASSERT(whole.code == pieces.code);
  }));
}

TEST_CASE("random input never crashes a parser and is refused with a code") {
  CHECK(rc::check("random bytes", [] {
    const std::string input = DrawInput();
    LastReason reason;
    ParsePieces(input, {7});
    HttpResponseParser response(kLimits);
    if (response.Push(input, reason)) response.PushEnd(reason);
    response.TakeBody();
    const auto check = [](bool parsed, const LastReason& why) {
      RC_ASSERT(parsed || why.code() != ResultCode::kOk);
    };
    check(ParseCompletion(input, false, reason).has_value(), reason);
    check(ParseCompletion(input, true, reason).has_value(), reason);
    check(ParseTableSpec(input, reason).has_value(), reason);
    check(ParseTableHead(input, reason).has_value(), reason);
    check(ParseTableHeadRecord(input, reason).has_value(), reason);
    check(ParseEngineLine(input, reason).has_value(), reason);
    check(ParseGenerate(input, reason).has_value(), reason);
    check(ParseForward(input, reason).has_value(), reason);
    check(ParseEndpoint(input, reason).has_value(), reason);
  }));
}

TEST_CASE("answers and events can be encoded with any bytes in their texts") {
  CHECK(rc::check("error text", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(!EncodeErrorBody(ResultCode::kUnknownRoute, text).empty());
    RC_ASSERT(!EncodeErrorEvent(ResultCode::kStreamBroken, text).empty());
    RC_ASSERT(!EncodeTokenEvent(text, text, text, true).empty());
    RC_ASSERT(!EncodeEndEvents(text, text, text, false).empty());
    RC_ASSERT(!EncodeCompletion({text, text, text, text, 1}, false).empty());
  }));
}

TEST_CASE("a head record is unchanged by formatting and parsing") {
  const TableHead head{.version = {7, "hash"},
                       .previous_hash = "before",
                       .edit = EditId("edit"),
                       .author = "ops",
                       .time = "2026-12-04T08:00:00Z"};
  LastReason reason;
  CHECK(ParseTableHeadRecord(FormatTableHeadRecord(head), reason) == head);
}

}  // namespace wisteriayoke
