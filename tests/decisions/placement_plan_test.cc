#include "decisions/placement_plan.h"

#include <doctest/doctest.h>

namespace wisteriayoke {
namespace {

const UpstreamName kFirst("a");
const UpstreamName kSecond("b");

Pool MakePool() {
  Pool pool;
  pool.model = std::string("m");
  pool.placement = PlacementSpec{std::string("v2"), {}, 60};
  pool.upstreams.push_back({.name = kFirst, .layers = {0, 2}});
  pool.upstreams.push_back({.name = kSecond, .layers = {2, 4}});
  return pool;
}

EngineReported Report(const UpstreamName& name, std::string_view version,
                      bool ready) {
  const Pool pool = MakePool();
  const bool first = name == kFirst;
  EngineState state = DesiredState(pool, pool.upstreams[first ? 0 : 1]);
  state.version = std::string(version);
  return {name, state, ready};
}

}  // namespace

TEST_CASE("loads go to one engine at a time and only under the lease") {
  PlacementPlan plan(MakePool());
  const TimePoint start;
  CHECK(plan.Handle(PlacementTick{}, std::nullopt, start).empty());
  CHECK(plan.Handle(PlacementTick{}, 7, start).size() == 2);
  CHECK(plan.Handle(Report(kFirst, "v1", true), 7, start).empty());
  const auto actions = plan.Handle(Report(kSecond, "v1", true), 7, start);
  REQUIRE(actions.size() == 1);
  const auto& sent = std::get<SendOrder>(actions[0]);
  CHECK(sent.upstream == kSecond);
  CHECK(sent.order.fencing == 7);
  CHECK(sent.order.state.version == "v2");
  plan.Handle(OrderEnded{kSecond, OrderResult::kAccepted, 7}, 7, start);
  const TimePoint later = start + std::chrono::minutes(1);
  CHECK(plan.Handle(Report(kFirst, "v1", true), 7, later).empty());
  CHECK(plan.Handle(Report(kSecond, "v2", true), 7, later).empty());
  CHECK(plan.Handle(Report(kFirst, "v1", true), std::nullopt, later).empty());
  CHECK(plan.Handle(Report(kFirst, "v1", true), 7, later).size() == 1);
}

TEST_CASE("after a fenced order no orders with that number are sent") {
  PlacementPlan plan(MakePool());
  const TimePoint now;
  plan.Handle(PlacementTick{}, 7, now);
  plan.Handle(Report(kFirst, "v2", true), 7, now);
  REQUIRE(plan.Handle(Report(kSecond, "v1", true), 7, now).size() == 1);
  plan.Handle(OrderEnded{kSecond, OrderResult::kFenced, 7}, 7, now);
  CHECK(plan.Handle(PlacementTick{}, 7, now).empty());
  CHECK(plan.Handle(PlacementTick{}, 9, now).size() == 2);
}

TEST_CASE("the weight store's rate bounds the loads") {
  TokenBucket bucket(std::chrono::seconds(10), 1);
  TimePoint now;
  int taken = 0;
  for (int second = 0; second < 100; ++second) {
    if (bucket.TryTake(now)) ++taken;
    now += std::chrono::seconds(1);
  }
  CHECK(taken == 10);
}

}  // namespace wisteriayoke
