#include <doctest/doctest.h>

#include "relay/relay_fixture.h"

namespace wisteriayoke {
namespace {

/// How long a sound upstream is silent; longer than any threshold of the relay.
constexpr Duration kPause = std::chrono::milliseconds(900);

}  // namespace

/// A relay whose engines may fall silent, reports included, and then go on.
struct SilentUpstreamFixture : RelayFixture {
  std::vector<CallerPtr> held;  ///< Attempts at upstreams that are silent.
  std::vector<LoopTimerPtr> pauses;

  SilentUpstreamFixture() {
    AddUpstream("w-3", "w", {0, 8}, TestPorts::kPeers);
  }

  /// Handles an attempt: sends the event `id`, falls silent, and after a pause
  /// sends the events up to `last` and the end.
  auto SendThenPause(int id, int last) {
    return
        [this, id, last](const HttpRequest& request, const CallerPtr& caller) {
          answers_polls = false;
          held.push_back(caller);
          caller->StartStream(MakeSealed(request, 200, "").head);
          caller->WriteChunk(MakeEvent(id));
          pauses.push_back(loop.Schedule(kPause, [this, caller, id, last] {
            answers_polls = true;
            for (int next = id + 1; next <= last; ++next) {
              caller->WriteChunk(MakeEvent(next));
            }
            caller->EndStream();
          }));
        };
  }

  /// Sets whether the streams of the route "tale" may be resumed.
  void SetResumable(bool resumable) {
    ChangeSpec([resumable](RelaySpec& spec) {
      for (auto& route : spec.routes) {
        if (route.name == RouteName("tale")) route.resumable = resumable;
      }
    });
  }

  void CheckWhole(const FetchResult& result, int last) {
    std::string whole;
    for (int id = 1; id <= last; ++id) whole += MakeEvent(id);
    CHECK(result.code == ResultCode::kOk);
    CHECK(result.response.body == whole);
  }
};

// Guards against a caller's answer being cut although its upstream is sound:
// once the attempts or the retry budget were used up, silence ended the stream.
TEST_CASE_FIXTURE(
    SilentUpstreamFixture,
    "a stream that can't be moved outlives the pause of its upstream") {
  SUBCASE("attempts are used up by an earlier pause") {
    answers = {SendThenPause(1, 4), SendThenPause(2, 4)};
  }
  SUBCASE("the retry budget is spent") {
    state.relay.retry_limits = {.share = 0.0, .max_balance = 0.0};
    answers = {SendThenPause(1, 4)};
  }
  SUBCASE("the route's streams can't be resumed") {
    SetResumable(false);
    answers = {SendThenPause(1, 4)};
  }
  CheckWhole(Call("/tale/1"), 4);
}

// Guards against a call that is given up at its only upstream, or while its
// answer arrives, and told that it failed.
TEST_CASE_FIXTURE(SilentUpstreamFixture,
                  "a slow call without another upstream keeps its attempt") {
  constexpr Duration kSlow = std::chrono::milliseconds(400);
  const auto answer_late = [this, kSlow](const HttpRequest& request,
                                         const CallerPtr& caller) {
    pauses.push_back(loop.Schedule(kSlow, [request, caller] {
      caller->Respond(MakeSealed(request, 200, "late"));
    }));
  };
  state.relay.fleet.Remove(UpstreamName("s-2"), loop.Now());
  answers = {answer_late};
  CHECK(Call("/read/1").response.body == "late");
  CHECK(seen.size() == 1);
}

}  // namespace wisteriayoke
