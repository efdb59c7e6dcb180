#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "relay/relay_fixture.h"
#include "support/raw_server.h"

namespace wisteriayoke {
namespace {

const std::string kSealed = "Attempt-Id: a1\r\nResponse-Seal: seal\r\n";
const std::string kBody = "Content-Length: 4\r\n\r\nbody";

/// Answers of an upstream in trouble, none of which may reach a caller.
const std::vector<std::string>& BrokenAnswers() {
  static const std::vector<std::string> answers = [] {
    std::vector<std::string> list;
    for (const char* status :
         {"000", "001", "099", "100", "101", "103", "199", "600", "999"}) {
      list.push_back("HTTP/1.1 " + std::string(status) + " Odd\r\n" + kSealed +
                     kBody);
    }
    for (const char* line :
         {"Se ats: 12", "Se\tats: 12", "Seats : 12", "Seats\b: 12",
          "\x1fSeats: 12", " Seats: 12", "\tSeats: 12"}) {
      list.push_back("HTTP/1.1 200 OK\r\n" + kSealed + line + "\r\n" + kBody);
      list.push_back("HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\n" +
                     kSealed + kBody);
    }
    // A receipt belongs to the head, not to the trailer.
    list.push_back(
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n"
        "\r\n4\r\nbody\r\n0\r\nResponse-Seal: seal\r\n\r\n");
    return list;
  }();
  return answers;
}

/// Sound answers that follow interim responses.
std::vector<std::string> LateAnswers(const std::string& body) {
  const std::string answer = "HTTP/1.1 200 OK\r\n" + kSealed +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
  const std::string hints =
      "HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n";
  return {"HTTP/1.1 100 Continue\r\n\r\n" + answer, hints + hints + answer};
}

/// A relay before an upstream of each pool that always gives the same bytes.
struct BrokenAnswerFixture : RelayFixture {
  std::optional<RawServer> broken;

  BrokenAnswerFixture() {
    state.relay.fleet = Fleet();
    AddUpstream("s-9", "s", {}, TestPorts::kPlatform);
    AddUpstream("w-9", "w", {0, 8}, TestPorts::kPlatform);
  }

  void AddSoundUpstreams() {
    AddUpstream("s-1", "s", {}, TestPorts::kPeers);
    AddUpstream("w-1", "w", {0, 8}, TestPorts::kPeers);
  }

  /// Calls a stream that has one event at a sound upstream.
  HttpResponse CallStream(const std::string& target) {
    answers = {[](const HttpRequest& request, const CallerPtr& caller) {
      caller->Respond(MakeSealed(request, 200, MakeEvent(1)));
    }};
    HttpResponse answer = Call(target).response;
    answers.clear();
    return answer;
  }

  /// Chooses the bytes, and how many arrive at a time, by subcases.
  void Serve(const std::vector<std::string>& choices) {
    for (const auto& bytes : choices) {
      for (const std::size_t size : {bytes.size(), std::size_t{1}}) {
        SUBCASE((bytes + std::to_string(size)).c_str()) {
          broken.emplace(loop, LocalEndpoint(TestPorts::kPlatform), bytes,
                         size);
        }
      }
    }
  }
};

}  // namespace

// Guards against a broken answer that reaches a caller with its receipt.
TEST_CASE_FIXTURE(BrokenAnswerFixture, "a broken answer becomes a failure") {
  Serve(BrokenAnswers());
  for (const std::string target : {"/read/1", "/hold/1", "/tale/1"}) {
    CAPTURE(target);
    const FetchResult result = Call(target);
    CHECK(result.code == ResultCode::kOk);
    CHECK(result.response.head.status == 502);
    CHECK(FindField(result.response.head.fields, "Response-Seal").empty());
    CHECK(result.response.body.find("body") == std::string::npos);
    CHECK(broken->CountRequests("POST " + target) > 0);
  }
  CHECK(broken->CountRequests("POST /hold/") == 1);
}

// Guards against an interim response in place of the answer.
TEST_CASE_FIXTURE(BrokenAnswerFixture,
                  "the answer after interim responses is relayed") {
  Serve(LateAnswers(MakeEvent(1)));
  for (const std::string target : {"/read/1", "/hold/1", "/tale/1"}) {
    CAPTURE(target);
    const HttpResponse answer = Call(target).response;
    CHECK(answer.head.status == 200);
    CHECK(answer.body == MakeEvent(1));
    CHECK(FindField(answer.head.fields, "Response-Seal") == "seal");
    CHECK(FindField(answer.head.fields, "Not-Executed").empty());
    CHECK(broken->CountRequests("POST " + target) == 1);
  }
}

// Guards against a broken answer that is taken where a sound one can be had,
// and against a second run of a call that must not be repeated.
TEST_CASE_FIXTURE(BrokenAnswerFixture,
                  "beside a sound upstream what may be repeated is answered") {
  AddSoundUpstreams();
  Serve(BrokenAnswers());
  for (int i = 0; i < 6; ++i) {
    const std::string id = std::to_string(i);
    CHECK(Call("/read/" + id).response.body == "whole");
    CHECK(CallStream("/tale/" + id).body == MakeEvent(1));
    seen.clear();
    const HttpResponse answer = Call("/hold/" + id).response;
    const bool ran_broken = broken->CountRequests("POST /hold/" + id) == 1;
    CHECK(seen.size() == (ran_broken ? 0 : 1));
    CHECK(answer.head.status == (ran_broken ? 502 : 200));
    CHECK((ran_broken || answer.body == "whole"));
  }
  CHECK(broken->CountRequests("POST ") > 0);
}

}  // namespace wisteriayoke
