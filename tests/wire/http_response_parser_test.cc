#include "wire/http_response_parser.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

constexpr HttpLimits kLimits{.header_bytes = 512,
                             .allow_close_delimited = true};

/// What the parser makes of some bytes and the end of their connection.
struct Parsed {
  ResultCode code = ResultCode::kOk;
  HttpResponseHead head;
  std::string body;
};

Parsed ParsePieces(std::string_view bytes, std::size_t size) {
  HttpResponseParser parser(kLimits);
  LastReason reason;
  Parsed parsed;
  for (std::size_t at = 0; at < bytes.size(); at += size) {
    if (!parser.Push(bytes.substr(at, size), reason)) break;
    parsed.body += parser.TakeBody();
  }
  if (reason.code() == ResultCode::kOk) parser.PushEnd(reason);
  parsed.code = reason.code();
  if (parser.head_done()) parsed.head = parser.Head();
  return parsed;
}

/// Parses `bytes` at once and one by one, which must make no difference.
Parsed Parse(const std::string& bytes) {
  Parsed whole = ParsePieces(bytes, bytes.size());
  const Parsed pieces = ParsePieces(bytes, 1);
  CHECK(whole.code == pieces.code);
  if (whole.code != ResultCode::kOk) return whole;
  CHECK(whole.body == pieces.body);
  CHECK(whole.head.status == pieces.head.status);
  REQUIRE(whole.head.fields.size() == pieces.head.fields.size());
  for (std::size_t i = 0; i < whole.head.fields.size(); ++i) {
    CHECK(whole.head.fields[i].name == pieces.head.fields[i].name);
    CHECK(whole.head.fields[i].value == pieces.head.fields[i].value);
  }
  return whole;
}

std::string MakeAnswer(const std::string& status) {
  return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody";
}

std::string MakeHead(const std::string& lines) {
  return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 4\r\n\r\nbody";
}

}  // namespace

TEST_CASE("the name of a field is a token") {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  for (int value = 0; value < 256; ++value) {
    CAPTURE(value);
    const char byte = static_cast<char>(value);
    const bool token = (byte >= '0' && byte <= '9') ||
                       (byte >= 'A' && byte <= 'Z') ||
                       (byte >= 'a' && byte <= 'z') ||
                       kMarks.find(byte) != std::string_view::npos;
    for (const std::size_t at : {0U, 1U, 2U}) {
      std::string name = "Ab";
      name.insert(at, 1, byte);
      // A colon after the first byte ends the name.
      const bool taken = token || (byte == ':' && at > 0);
      for (const std::string& lines :
           {name + ": x\r\n", "A: b\r\n" + name + ":\r\n"}) {
        CAPTURE(lines);
        CHECK(Parse(MakeHead(lines)).code ==
              (taken ? ResultCode::kOk : ResultCode::kMalformedHttp));
      }
    }
  }
}

// Guards against a line that is passed on as a part of the field above it.
TEST_CASE("a line that is no field is refused with its head") {
  for (const std::string lines :
       {"Seats\r\n", ": 12\r\n", "Seats 12\r\n", "Seats\t: 12\r\n",
        "Seats : 12\r\n", "Content-Length : 2\r\n",
        "Transfer-Encoding\v: chunked\r\n", "Seats: 12\rA: b\r\n",
        "Seats: 12\nA: b\r\n", " Seats: 12\r\n", "A: b\r\n Seats: 12\r\n",
        "A: b\r\n\tSeats: 12\r\n", "A:\r\n Seats: 12\r\n", "A: b\r\n \r\n",
        "A: b\r\n 12\r\n c\r\n",
        "Content-Length: 4\r\n Content-Length: 2\r\n"}) {
    CAPTURE(lines);
    CHECK(Parse(MakeHead(lines)).code == ResultCode::kMalformedHttp);
    // The same holds for the head of an interim response.
    const std::string interim = "HTTP/1.1 103 Hints\r\n" + lines + "\r\n";
    CHECK(Parse(interim + MakeHead("")).code == ResultCode::kMalformedHttp);
  }
}

TEST_CASE("a body may begin like a line of the head") {
  for (const std::string body : {" x\r\n y", "\tx: y", "\r\n z"}) {
    CAPTURE(body);
    const Parsed parsed = Parse("HTTP/1.1 200 OK\r\n\r\n" + body);
    CHECK(parsed.code == ResultCode::kOk);
    CHECK(parsed.body == body);
  }
}

// Guards against an answer with the status 000 that reaches a caller.
TEST_CASE("only a status from 100 to 599 is one") {
  for (int status = 0; status < 1000; ++status) {
    if (status / 100 == 1) continue;
    CAPTURE(status);
    std::array<char, 4> digits{};
    std::snprintf(digits.data(), digits.size(), "%03d", status);
    const Parsed parsed = Parse(MakeAnswer(digits.data()));
    const bool valid = status >= 200 && status < 600;
    CHECK(parsed.code ==
          (valid ? ResultCode::kOk : ResultCode::kMalformedHttp));
    if (valid) CHECK(parsed.head.status == status);
  }
  for (const char* status : {"", "2", "20", "2000", "2x0", "+20", " 200"}) {
    CAPTURE(status);
    CHECK(Parse(MakeAnswer(status)).code == ResultCode::kMalformedHttp);
  }
}

TEST_CASE("a status line is that of HTTP/1.0 or HTTP/1.1") {
  const std::string rest = "\r\nContent-Length: 4\r\n\r\nbody";
  for (const std::string line :
       {"HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200 \t\xe9 "}) {
    CAPTURE(line);
    CHECK(Parse(line + rest).code == ResultCode::kOk);
  }
  for (const std::string line :
       {"HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "HTTP/1.1200",
        "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\bK",
        " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK"}) {
    CAPTURE(line);
    CHECK(Parse(line + rest).code == ResultCode::kMalformedHttp);
  }
}

// Guards against an interim response in place of the answer.
TEST_CASE("an answer follows any number of interim responses") {
  const std::string answer = MakeAnswer("200");
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints =
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\nNot-Executed: 1\r\n"
      "\r\n";
  for (const auto& before : {interim, hints, hints + interim + hints}) {
    CAPTURE(before);
    const Parsed parsed = Parse(before + answer);
    CHECK(parsed.code == ResultCode::kOk);
    CHECK(parsed.head.status == 200);
    CHECK(parsed.body == "body");
    CHECK(FindField(parsed.head.fields, "Not-Executed").empty());
    CHECK(Parse(before).code == ResultCode::kConnectionBroken);
    // An interim response has no body, whatever its fields say.
    CHECK(Parse(before + "body").code == ResultCode::kMalformedHttp);
    CHECK(Parse(before + MakeAnswer("000")).code == ResultCode::kMalformedHttp);
  }
  std::string endless;
  while (endless.size() <= kLimits.header_bytes) endless += interim;
  CHECK(Parse(endless + answer).code == ResultCode::kMalformedHttp);
}

TEST_CASE("only a final status ends the wait for an answer") {
  for (int status = 100; status < 200; ++status) {
    CAPTURE(status);
    const std::string head =
        "HTTP/1.1 " + std::to_string(status) + " Odd\r\n\r\n";
    // No request asks for another protocol, so that none may follow.
    const bool interim = status != 101;
    CHECK(Parse(head + MakeAnswer("200")).code ==
          (interim ? ResultCode::kOk : ResultCode::kMalformedHttp));
  }
}

TEST_CASE("the answer to a HEAD follows an interim response") {
  HttpResponseParser parser(kLimits, true);
  LastReason reason;
  CHECK(
      parser.Push("HTTP/1.1 103 Early Hints\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
                  reason));
  CHECK(parser.done());
  CHECK(parser.Head().status == 200);
}

// Guards against a receipt in the trailer that passes for one of the head.
TEST_CASE("fields of a trailer are none of the head") {
  const Parsed parsed = Parse(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeats: 12\r\n\r\n"
      "4\r\nbody\r\n0\r\nResponse-Seal: seal\r\nSeats: 13\r\n\r\n");
  CHECK(parsed.code == ResultCode::kOk);
  CHECK(parsed.body == "body");
  CHECK(parsed.head.fields.size() == 2);
  CHECK(FindField(parsed.head.fields, "Seats") == "12");
}

TEST_CASE("the limit of the header holds however its fields arrive") {
  for (const std::size_t size : {1U, 6U, 50U, 5000U}) {
    CAPTURE(size);
    std::string head = "HTTP/1.1 200 OK\r\n";
    while (head.size() < 5000) head += "A: b\r\n";
    CHECK(ParsePieces(head, size).code == ResultCode::kMalformedHttp);
  }
}

}  // namespace wisteriayoke
