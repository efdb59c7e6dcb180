#include <doctest/doctest.h>

#include "relay/relay_fixture.h"

namespace wisteriayoke {

/// A relay whose first engine begins a stream and breaks it after one event.
struct StartedStreamFixture : RelayFixture {
  StartedStreamFixture() {
    AddUpstream("w-3", "w", {0, 8}, TestPorts::kPeers);
    answers = {[](const HttpRequest& request, const CallerPtr& caller) {
      caller->StartStream(MakeSealed(request, 200, "").head);
      caller->WriteChunk(MakeEvent(1));
      caller->BreakStream();
    }};
  }

  void AnswerNext(const HttpResponse& response) {
    answers.emplace_back(
        [response](const HttpRequest&, const CallerPtr& caller) {
          caller->Respond(response);
        });
  }

  void FinishNext() {
    answers.emplace_back(
        [](const HttpRequest& request, const CallerPtr& caller) {
          CHECK(FindField(request.fields, "Last-Event-Id") == "1");
          caller->StartStream(MakeSealed(request, 200, "").head);
          caller->WriteChunk(MakeEvent(2));
          caller->EndStream();
        });
  }

  void CheckWhole(const FetchResult& result) {
    CHECK(result.code == ResultCode::kOk);
    CHECK(result.response.body == MakeEvent(1) + MakeEvent(2));
  }
};

// Guards against a truncated event passed off as the end of a whole answer.
TEST_CASE_FIXTURE(StartedStreamFixture,
                  "a stream that ends inside an event is resumed") {
  answers = {[](const HttpRequest& request, const CallerPtr& caller) {
    caller->StartStream(MakeSealed(request, 200, "").head);
    caller->WriteChunk(MakeEvent(1) + "id: 2\nda");
    caller->EndStream();
  }};
  SUBCASE("elsewhere") {
    FinishNext();
    CheckWhole(Call("/tale/1"));
  }
  SUBCASE("or broken off, if it can't be resumed") {
    answers.push_back(answers.front());
    CHECK(Call("/tale/1").code == ResultCode::kConnectionBroken);
  }
}

// Guards against a second answer written into a stream that the caller has a
// part of.
TEST_CASE_FIXTURE(
    StartedStreamFixture,
    "an upstream's failure isn't forwarded into a started stream") {
  for (const int status : {404, 500, 504}) {
    CAPTURE(status);
    answers.resize(1);
    AnswerNext(MakeSealed({.fields = {{"Attempt-Id", "a1"}}}, status, "no"));
    const auto result = Call("/tale/1");
    CHECK(result.code == ResultCode::kConnectionBroken);
    CHECK(result.response.body == MakeEvent(1));
    answers = {[](const HttpRequest& request, const CallerPtr& caller) {
      caller->StartStream(MakeSealed(request, 200, "").head);
      caller->WriteChunk(MakeEvent(1));
      caller->BreakStream();
    }};
  }
}

// Guards against started streams being cut because upstreams are full, which
// only delays them.
TEST_CASE_FIXTURE(StartedStreamFixture,
                  "a started stream outlives rejections by all upstreams") {
  for (int i = 0; i < 5; ++i) AnswerNext(MakeDeclined());
  FinishNext();
  CheckWhole(Call("/tale/1"));
}

// Guards against started streams being cut while no proof of the tables is
// fresh; their caller's key was accepted.
TEST_CASE_FIXTURE(StartedStreamFixture,
                  "a started stream waits for fresh tables to go on") {
  LoopTimerPtr proof;
  const auto first = answers.front();
  answers = {[&](const HttpRequest& request, const CallerPtr& caller) {
    state.relay.freshness =
        Freshness({.revocation = std::chrono::milliseconds(1)});
    proof = loop.Schedule(std::chrono::milliseconds(300), [this] {
      state.relay.freshness = Freshness();
      state.relay.freshness.RecordProof(loop.BootNow());
    });
    first(request, caller);
  }};
  FinishNext();
  CheckWhole(Call("/tale/1"));
}

}  // namespace wisteriayoke
