#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "relay/relay_fixture.h"

namespace wisteriayoke {
namespace {

/// Sends a request with an urgency of its own and returns the one that the
/// upstream got.
std::string FindUrgency(RelayFixture& fixture) {
  HttpRequest request = fixture.MakeRequest("/tale/1", "k1");
  request.fields.push_back({"Request-Urgency", "7"});
  fixture.seen.clear();
  fixture.answers = {[](const HttpRequest& sent, const CallerPtr& caller) {
    caller->StartStream(MakeSealed(sent, 200, "").head);
    caller->WriteChunk(MakeEvent(1));
    caller->EndStream();
  }};
  fixture.Fetch(TestPorts::kFront, request);
  REQUIRE(fixture.seen.size() == 1);
  return std::string(FindField(fixture.seen[0].fields, "Request-Urgency"));
}

}  // namespace

/// Adds an urgent route before the last one, which becomes less urgent.
void RankRoutes(RelaySpec& spec) {
  RelayRoute urgent = spec.routes.back();
  urgent.path_prefix = "/urgent/";
  urgent.priority = 0;
  spec.routes.back().priority = 2;
  spec.routes.push_back(urgent);
}

/// Ends the stream of `caller` with one event.
void Answer(const HttpRequest& request, const CallerPtr& caller) {
  caller->StartStream(MakeSealed(request, 200, "").head);
  caller->WriteChunk(MakeEvent(1));
  caller->EndStream();
}

// Guards against a caller that ranks itself, and against a header on
// deployments that rank no request.
TEST_CASE_FIXTURE(RelayFixture,
                  "the rank reaches the upstream, the caller's own doesn't") {
  CHECK(FindUrgency(*this) == "7");
  ChangeSpec(RankRoutes);
  CHECK(FindUrgency(*this) == "1");
}

// Guards against a queue by arrival, and a refusal that doesn't say its rule.
TEST_CASE_FIXTURE(RelayFixture,
                  "the urgent request gets the place that becomes free") {
  ChangeSpec(RankRoutes);
  state.relay.fleet = Fleet();
  AddUpstream("w-1", "w", {0, 8}, TestPorts::kUpstream);
  // Fills all places, whose number follows from the upstream's memory.
  const UpstreamName upstream("w-1");
  constexpr int kMany = 100'000;
  for (int i = 0; i < kMany; ++i) state.upstreams.RecordStart(upstream);
  std::vector<std::string> order;
  std::vector<std::shared_ptr<HttpClientCall>> calls;
  std::map<std::string, int> answered;
  const auto send = [&](const std::string& target) {
    answers.emplace_back(
        [&](const HttpRequest& request, const CallerPtr& caller) {
          order.push_back(request.target);
          Answer(request, caller);
        });
    calls.push_back(HttpClientCall::Start(
        loop, LocalEndpoint(TestPorts::kFront), MakeRequest(target, "k1"), {},
        [&, target](const CallEvent& event) {
          if (std::holds_alternative<CallEnd>(event)) ++answered[target];
        }));
  };
  const auto waiting = [&] {
    return state.relay.ranked_queues[PoolName("w")].waiting();
  };
  send("/tale/1");
  RunUntil([&] { return waiting() == 1; });
  send("/tale/2");
  RunUntil([&] { return waiting() == 2; });
  // The queue is full at the lowest rate, so the last of the others makes way.
  send("/urgent/1");
  RunUntil([&] { return answered["/tale/2"] == 1; });
  CHECK(waiting() == 2);
  CHECK(order.empty());
  const auto& event = state.timeline.events().back();
  CHECK(event.fields[event.fields.size() - 2].second == "displaced");
  CHECK(event.fields.back().second == "1");
  for (int i = 0; i < kMany; ++i) state.upstreams.RecordEnd(upstream);
  RunUntil([&] { return order.size() == 2; });
  CHECK(order == std::vector<std::string>{"/urgent/1", "/tale/1"});
}

}  // namespace wisteriayoke
