#include "wire/http_encode.h"

#include <doctest/doctest.h>

#include "wire/http_request_parser.h"
#include "wire/http_response_parser.h"

namespace wisteriayoke {
namespace {

using std::string_literals::operator""s;

const std::vector<std::string> kOddTexts = {
    "a\r\nSmuggled: 1", "a\nSmuggled: 1", "a\rSmuggled: 1", "a\0b"s,
    "a\r\n\r\nGET /x HTTP/1.1\r\nHost: b\r\n\r\n"};

}  // namespace

// Guards against a text of others that adds a line to a head or ends it.
TEST_CASE("no target or field value adds to a request") {
  for (const auto& text : kOddTexts) {
    CAPTURE(text);
    const HttpRequest request{
        .target = "/orders/" + text,
        .fields = {{"Expect-Instance", text}, {"Host", text}}};
    HttpRequestParser parser({});
    parser.Push(EncodeRequest(request, text));
    LastReason reason;
    const auto parsed = parser.Next(reason);
    REQUIRE_MESSAGE(parsed.has_value(), reason.message());
    CHECK(parsed->fields.size() == 2);
    CHECK(FindField(parsed->fields, "Smuggled").empty());
    CHECK(parsed->target.starts_with("/orders/a%"));
    CHECK_FALSE(parser.InMessage());
  }
}

TEST_CASE("a target that was received is sent as it is") {
  const std::string target = "/a%20b;c//d?e=f+g&h=%0d#\xc3\xbc\"";
  const std::string head = EncodeRequestHead({.target = target}, "h");
  CHECK(head.starts_with("GET " + target + " HTTP/1.1\r\n"));
}

TEST_CASE("no field value adds to an answer") {
  for (const auto& text : kOddTexts) {
    CAPTURE(text);
    const HttpResponseHead head{200, {{"Attempt-Id", text}}};
    for (const auto& bytes :
         {EncodeResponse({head, "body"}, true),
          EncodeChunkedHead(head, true) + EncodeLastChunk()}) {
      HttpResponseParser parser({}, false);
      LastReason reason;
      REQUIRE_MESSAGE(parser.Push(bytes, reason), reason.message());
      CHECK(parser.done());
      CHECK(FindField(parser.Head().fields, "Smuggled").empty());
      CHECK(parser.Head().fields.size() == 2);
    }
  }
}

}  // namespace wisteriayoke
