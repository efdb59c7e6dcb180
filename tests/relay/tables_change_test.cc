#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "relay/relay_fixture.h"
#include "support/raw_caller.h"

namespace wisteriayoke {
namespace {

/// How long each upstream is silent in the middle of its answer.
constexpr Duration kSilence = std::chrono::milliseconds(900);
/// When the tables change, from the start of the requests.
constexpr Duration kChangeAt = std::chrono::milliseconds(300);

}  // namespace

/// A relay whose upstreams are silent for a while in the middle of an answer,
/// reports included, while the tables change.
struct TablesChangeFixture : RelayFixture {
  std::vector<LoopTimerPtr> timers;

  TablesChangeFixture() {
    ChangeSpec([](RelaySpec& spec) {
      for (auto& route : spec.routes) route.timeout = std::chrono::seconds(4);
    });
    answers_polls = false;
  }

  void After(Duration delay, std::function<void()> call) {
    timers.push_back(loop.Schedule(delay, std::move(call)));
  }

  /// Answers after the silence.
  void AnswerLate(const HttpRequest& request, const CallerPtr& caller) {
    After(kSilence, [request, caller] {
      caller->Respond(MakeSealed(request, 200, "whole"));
    });
  }

  /// Sends the first of two parts, and the second after the silence.
  void AnswerInParts(const HttpRequest& request, const CallerPtr& caller,
                     const std::string& first, const std::string& second) {
    caller->StartStream(MakeSealed(request, 200, "").head);
    caller->WriteChunk(first);
    After(kSilence, [caller, second] {
      caller->WriteChunk(second);
      caller->EndStream();
    });
  }

  /// Handles an attempt by its path.
  void Answer(const HttpRequest& request, const CallerPtr& caller) {
    const std::string& target = request.target;
    if (target.starts_with("/tale/")) {
      const bool resumed = !FindField(request.fields, "Last-Event-Id").empty();
      return AnswerInParts(request, caller, resumed ? "" : MakeEvent(1),
                           MakeEvent(2));
    }
    if (target.ends_with("/parts")) {
      return AnswerInParts(request, caller, "who", "le");
    }
    AnswerLate(request, caller);
  }

  void Fetch(const std::string& target, std::optional<FetchResult>& answer) {
    FetchResponse(
        loop, LocalEndpoint(TestPorts::kFront), MakeRequest(target, "k1"), {},
        [&answer](FetchResult result) { answer = std::move(result); });
  }
};

// Guards against requests that get neither an answer nor a refusal because the
// tables change while a sound upstream is silent.
TEST_CASE_FIXTURE(
    TablesChangeFixture,
    "a change of the tables ends no request at silent upstreams") {
  std::function<void()> change;
  SUBCASE("timeouts become shorter than the silence") {
    change = [this] {
      ChangeSpec([](RelaySpec& spec) {
        for (auto& route : spec.routes) {
          route.timeout = std::chrono::milliseconds(500);
        }
      });
    };
  }
  SUBCASE("routes move to another pool") {
    change = [this] {
      ChangeSpec([](RelaySpec& spec) {
        spec.pools.push_back({.name = PoolName("new")});
        for (auto& route : spec.routes) {
          route.pools = {{.pool = PoolName("new")}};
        }
      });
    };
  }
  SUBCASE("routes and pools are removed") {
    change = [this] {
      ChangeSpec([](RelaySpec& spec) {
        spec.routes.clear();
        spec.pools.clear();
      });
    };
  }
  SUBCASE("the key is replaced") {
    change = [this] {
      ChangeSpec(
          [](RelaySpec& spec) { spec.workspaces.value().at(0).keys = {"k2"}; });
    };
  }
  SUBCASE("streams may no longer be resumed, calls no longer repeated") {
    change = [this] {
      ChangeSpec([](RelaySpec& spec) {
        for (auto& route : spec.routes) {
          route.resumable = false;
          route.max_attempts = 1;
        }
      });
    };
  }
  SUBCASE("the entries of the upstreams are removed") {
    change = [this] {
      for (const char* name : {"s-1", "s-2", "w-1", "w-2"}) {
        state.relay.fleet.Remove(UpstreamName(name), loop.Now());
      }
    };
  }
  SUBCASE("the limit of bodies becomes lower") {
    change = [this] {
      ChangeSpec([](RelaySpec& spec) { spec.max_body_bytes = 1; });
    };
  }
  for (int i = 0; i < 20; ++i) {
    answers.emplace_back(
        [this](const HttpRequest& request, const CallerPtr& caller) {
          Answer(request, caller);
        });
  }
  const std::vector<std::string> targets = {"/hold/1", "/read/1", "/tale/1",
                                            "/hold/parts", "/read/parts"};
  std::vector<std::optional<FetchResult>> results(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    Fetch(targets[i], results[i]);
  }
  RawCaller slow(loop, LocalEndpoint(TestPorts::kFront));
  slow.Send(
      "POST /hold/slow HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\n"
      "Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbo");
  After(kChangeAt, [&] {
    change();
    slow.Send("dy");
  });
  RunUntil([&] {
    return std::all_of(results.begin(), results.end(),
                       [](const auto& result) { return result.has_value(); }) &&
           slow.received().find("\r\n\r\n") != std::string::npos;
  });
  for (std::size_t i = 0; i < targets.size(); ++i) {
    CAPTURE(targets[i]);
    CHECK(results[i]->code == ResultCode::kOk);
    CHECK(results[i]->response.head.status == 200);
    const bool stream = targets[i].starts_with("/tale/");
    CHECK(results[i]->response.body ==
          (stream ? MakeEvent(1) + MakeEvent(2) : "whole"));
  }
  CHECK(slow.received().starts_with("HTTP/1.1 "));
}

}  // namespace wisteriayoke
