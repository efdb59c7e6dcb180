#include "decisions/request_cost.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <string>

namespace wisteriayoke {
namespace {

constexpr double kUsual = 200;
const TimePoint kStart(std::chrono::hours(1));

RequestTraits MakeTraits(const std::string& route,
                         const std::string& workspace) {
  RequestTraits traits;
  traits.route = RouteName(route);
  traits.workspace = WorkspaceName(workspace);
  traits.prompt_tokens = 750;
  traits.max_output_tokens = 2048;
  return traits;
}

void RecordMany(RequestCosts& costs, const RequestTraits& traits, double events,
                int count) {
  for (int i = 0; i < count; ++i) costs.Record(traits, events, kStart);
}

}  // namespace

TEST_CASE("a cold start uses the tables' output") {
  const RequestCosts costs(kUsual);
  const auto estimate = costs.Estimate(MakeTraits("r", "w"), 0, kStart);
  CHECK(estimate.mean == doctest::Approx(kUsual).epsilon(0.02));
  CHECK(estimate.high > estimate.mean);
}

TEST_CASE("outputs 100 times apart are learned by class") {
  RequestCosts costs(kUsual);
  for (int i = 0; i < 200; ++i) {
    costs.Record(MakeTraits("short", "w"), 5, kStart);
    costs.Record(MakeTraits("long", "w"), 500, kStart);
  }
  const double low = costs.Estimate(MakeTraits("short", "w"), 0, kStart).mean;
  const double high = costs.Estimate(MakeTraits("long", "w"), 0, kStart).mean;
  CHECK(low < kUsual / 5);
  CHECK(high > kUsual * 1.7);
}

TEST_CASE("a class that changes is learned anew") {
  RequestCosts costs(kUsual);
  const RequestTraits other = MakeTraits("other", "w");
  const RequestTraits traits = MakeTraits("r", "w");
  for (int i = 0; i < 300; ++i) {
    costs.Record(other, 50, kStart);
    costs.Record(traits, 20, kStart);
  }
  const double before = costs.Estimate(traits, 0, kStart).mean;
  for (int i = 0; i < 300; ++i) {
    costs.Record(other, 50, kStart);
    costs.Record(traits, 200, kStart);
  }
  CHECK(costs.Estimate(traits, 0, kStart).mean > 2 * before);
}

TEST_CASE("what was learned is forgotten after a while") {
  RequestCosts costs(kUsual);
  RecordMany(costs, MakeTraits("a", "w"), 10, 100);
  RecordMany(costs, MakeTraits("b", "w"), 100, 100);
  const auto later = kStart + std::chrono::hours(3);
  CHECK(costs.Estimate(MakeTraits("a", "w"), 0, later).mean ==
        doctest::Approx(kUsual).epsilon(0.05));
}

TEST_CASE("the output that is left of a long stream grows with its events") {
  RequestCosts costs(kUsual);
  const RequestTraits traits = MakeTraits("r", "w");
  for (int i = 0; i < 200; ++i) costs.Record(traits, i % 10 ? 20 : 300, kStart);
  const double produced = 100 * costs.TokensPerEvent(kStart);
  CHECK(costs.Estimate(traits, 100, kStart).mean > 1.5 * produced);
}

TEST_CASE("a caller's false hints are not trusted, good ones are") {
  RequestCosts costs(kUsual);
  RequestTraits liar = MakeTraits("r", "liar");
  liar.hinted_output_tokens = 1;
  RequestTraits honest = MakeTraits("r", "honest");
  for (int i = 0; i < 100; ++i) {
    costs.Record(liar, 60, kStart);
    const double events = i % 2 == 0 ? 20 : 100;
    honest.hinted_output_tokens = events * kUsual / 60;
    costs.Record(honest, events, kStart);
  }
  CHECK(costs.Estimate(liar, 0, kStart).mean > kUsual * 0.8);
  honest.hinted_output_tokens = 20 * kUsual / 60;
  const double low = costs.Estimate(honest, 0, kStart).mean;
  CHECK(low < kUsual * 0.6);
  // However large a hint is, the route's outputs bound it.
  honest.hinted_output_tokens = 1e6;
  CHECK(costs.Estimate(honest, 0, kStart).mean < kUsual * 2.2);
}

TEST_CASE("the stated maximum bounds an estimate") {
  RequestCosts costs(kUsual);
  RequestTraits traits = MakeTraits("r", "w");
  traits.max_output_tokens = 30;
  const auto estimate = costs.Estimate(traits, 0, kStart);
  CHECK(estimate.mean <= 30);
  CHECK(estimate.high <= 30);
}

TEST_CASE("the number of classes is bounded and estimates are finite") {
  CHECK(rc::check("any requests", [] {
    RequestCosts costs(kUsual);
    const int count = *rc::gen::inRange(0, 50);
    for (int i = 0; i < count; ++i) {
      RequestTraits traits =
          MakeTraits(std::to_string(*rc::gen::inRange(0, 4)),
                     std::to_string(*rc::gen::inRange(0, 4)));
      traits.max_output_tokens = *rc::gen::element(0.0, 1.0, 1e5, 1e18);
      traits.hinted_output_tokens = *rc::gen::element(0.0, 1.0, 1e300);
      costs.Record(traits, *rc::gen::element(0.0, 1.0, 30.0, 1e9), kStart);
      const auto estimate = costs.Estimate(traits, 0, kStart);
      RC_ASSERT(std::isfinite(estimate.mean));
      RC_ASSERT(estimate.mean >= 0);
      RC_ASSERT(estimate.high >= estimate.mean);
    }
  }));
  RequestCosts costs(kUsual);
  for (int i = 0; i < 2000; ++i) {
    costs.Record(MakeTraits("r", std::to_string(i)), 5, kStart);
  }
  CHECK(costs.CountClasses() <= RequestCosts::kMaxClasses);
}

}  // namespace wisteriayoke
