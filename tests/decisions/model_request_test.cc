#include "decisions/model_request.h"

#include <doctest/doctest.h>

#include <variant>

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kLayers = 4;
constexpr std::uint32_t kMaxTokens = 8;

Chain MakeChain() {
  return {{UpstreamName("a"), {"127.0.0.1", 1}, {0, 2}},
          {UpstreamName("b"), {"127.0.0.1", 2}, {2, 4}}};
}

TokenArrived MakeToken(AttemptNumber attempt, TokenIndex index) {
  return {attempt, index, "t", {{0, 2}, {2, 4}}};
}

ModelRequest MakeRunning() {
  ModelRequest request({kLayers, kMaxTokens});
  request.Handle(ModelAdmitted{});
  request.Handle(ChainChosen{MakeChain()});
  return request;
}

}  // namespace

TEST_CASE("a token that skipped a layer is not delivered") {
  ModelRequest request = MakeRunning();
  const auto actions = request.Handle(TokenArrived{1, 0, "t", {{0, 2}}});
  REQUIRE(actions.size() == 2);
  CHECK(std::holds_alternative<CancelAttempt>(actions[0]));
  CHECK(std::holds_alternative<RequestChain>(actions[1]));
}

TEST_CASE(
    "a broken attempt resumes at the next token without the failed engine") {
  ModelRequest request = MakeRunning();
  REQUIRE(request.Handle(MakeToken(1, 0)).size() == 1);
  const auto actions = request.Handle(AttemptBroke{1, UpstreamName("b")});
  REQUIRE(actions.size() == 2);
  const auto& next = std::get<RequestChain>(actions[1]);
  CHECK(next.excluded.contains(UpstreamName("b")));
  const auto resumed = request.Handle(ChainChosen{MakeChain()});
  CHECK(std::get<StartAttempt>(resumed[0]).first_token == 1);
  CHECK(std::get<StartAttempt>(resumed[0]).attempt == 2);
}

TEST_CASE("tokens of an earlier attempt have no effect") {
  ModelRequest request = MakeRunning();
  request.Handle(AttemptBroke{1, UpstreamName("b")});
  request.Handle(ChainChosen{MakeChain()});
  CHECK(request.Handle(MakeToken(1, 0)).empty());
  CHECK(request.delivered_tokens() == 0);
}

}  // namespace wisteriayoke
