#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <variant>
#include <vector>

#include "base/overloaded.h"
#include "decisions/model_request.h"
#include "decisions/work_estimator.h"

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kTokens = 60;

Chain MakeChain() {
  return {{UpstreamName("a"), {"127.0.0.1", 1}, {0, 2}},
          {UpstreamName("b"), {"127.0.0.1", 2}, {2, 4}}};
}

/// Engines that generate one token per call of `Generate`, and a caller that
/// counts the tokens.
struct Engines {
  ModelRequest request{{4, kTokens}};
  std::optional<StartAttempt> attempt;
  TokenIndex next = 0;
  TokenIndex delivered = 0;
  bool complete = false;
  bool failed = false;

  void Feed(const ModelRequestEvent& event) {
    for (const auto& action : request.Handle(event)) {
      std::visit(
          Overloaded{
              [this](const RequestChain&) { Feed(ChainChosen{MakeChain()}); },
              [this](const StartAttempt& start) {
                attempt = start;
                next = start.first_token;
              },
              [this](const CancelAttempt&) { attempt.reset(); },
              [this](const DeliverToken& token) {
                RC_ASSERT(token.index == delivered);
                ++delivered;
              },
              [this](const CompleteAnswer&) { complete = true; },
              [this](const FailAnswer&) { failed = true; },
              [](const WaitForChain&) {},
          },
          action);
    }
  }

  void Generate() {
    if (!attempt) return;
    const AttemptNumber number = attempt->attempt;
    if (next == kTokens) return Feed(StreamEnded{number, "length", kTokens});
    Feed(TokenArrived{number, next++, "t", {{0, 2}, {2, 4}}, {}});
  }
};

}  // namespace

TEST_CASE("a suspended answer runs nowhere and resumes at the next token") {
  CHECK(rc::check("suspensions", [] {
    Engines engines;
    engines.Feed(ModelAdmitted{});
    bool suspended = false;
    for (int step = 0; step < 150 && !engines.complete; ++step) {
      if (*rc::gen::inRange(0, 4) > 0) {
        engines.Generate();
        continue;
      }
      suspended = !suspended;
      if (suspended) {
        engines.Feed(ModelSuspended{});
        RC_ASSERT(!engines.attempt || engines.complete);
        engines.Feed(ChainWaitOver{});
        RC_ASSERT(!engines.attempt || engines.complete);
      } else {
        engines.Feed(ModelResumed{});
      }
    }
    if (suspended) engines.Feed(ModelResumed{});
    for (TokenIndex i = 0; i <= kTokens; ++i) engines.Generate();
    RC_ASSERT(!engines.failed);
    RC_ASSERT(engines.complete);
    RC_ASSERT(engines.delivered == kTokens);
  }));
}

TEST_CASE("a request for many times the typical tokens is long") {
  WorkEstimator work;
  for (int i = 0; i < 100; ++i) {
    CHECK(work.Estimate(50).size == WorkSize::kShort);
  }
  const ExpectedWork expected = work.Estimate(2500);
  CHECK(expected.size == WorkSize::kLong);
  CHECK(expected.cost == doctest::Approx(50.0));
  CHECK(work.Estimate(100).size == WorkSize::kShort);
}

}  // namespace wisteriayoke
