#include <doctest/doctest.h>

#include <cmath>
#include <cstdio>
#include <string>

#include "engine_simulation.h"

namespace wisteriayoke {
namespace {

/// Faults are rare, so that one seed alone tells little.
constexpr unsigned kSeeds = 4;

/// Prompts of 700 to 800 tokens, outputs of 225 on average with a heavy tail.
std::pair<RequestTraits, double> MakeUsual(std::mt19937_64& random,
                                           double /*seconds*/) {
  RequestTraits traits;
  traits.route = RouteName("r" + std::to_string(random() % 4));
  traits.workspace = WorkspaceName("w" + std::to_string(random() % 20));
  traits.prompt_tokens = std::clamp(
      std::normal_distribution<double>(750, 120)(random), 300.0, 1500.0);
  traits.max_output_tokens = 1024;
  const double output = std::lognormal_distribution<double>(5.2, 0.6)(random);
  return {traits, std::clamp(output, 10.0, 1024.0)};
}

/// Outputs of 10 or of 1000 tokens, 200 on average.
std::pair<RequestTraits, double> MakeFarApart(std::mt19937_64& random,
                                              double seconds) {
  auto request = MakeUsual(random, seconds);
  request.second = random() % 5 == 0 ? 1000 : 10;
  return request;
}

/// Outputs that double after half of the run.
std::pair<RequestTraits, double> MakeChanging(std::mt19937_64& random,
                                              double seconds) {
  auto request = MakeUsual(random, seconds);
  request.second *= seconds < 15 ? 0.7 : 1.4;
  return request;
}

/// A quarter of the callers hint at a single token.
std::pair<RequestTraits, double> MakeLying(std::mt19937_64& random,
                                           double seconds) {
  auto request = MakeUsual(random, seconds);
  const bool lies = random() % 4 == 0;
  request.first.workspace = WorkspaceName(lies ? "liar" : "honest");
  request.first.hinted_output_tokens = lies ? 1 : request.second;
  return request;
}

void Print(const char* name, const EngineLoad& load,
           const EngineResult& result) {
  std::printf(
      "%s daemons=%zu cost=%d arrivals=%.0f rejected=%.2f%% preempted=%.2f%% "
      "refused=%.2f%% finished=%.0f use=%.3f busiest=%.2f\n",
      name, load.daemons, load.by_cost ? 1 : 0, result.arrivals,
      100 * result.RejectedShare(), 100 * result.PreemptedShare(),
      100 * result.refused / result.arrivals, result.finished, result.use,
      result.peak);
}

/// Returns the sums of runs of `load` with several seeds, and prints them.
EngineResult RunSeeds(const char* name, EngineLoad load) {
  EngineResult sum;
  for (load.seed = 0; load.seed < kSeeds; ++load.seed) {
    sum.Add(EngineSimulation(load).Run());
  }
  sum.use /= kSeeds;
  sum.peak /= kSeeds;
  Print(name, load, sum);
  return sum;
}

/// Runs `load` with the choice by counts and with the choice by work.
std::pair<EngineResult, EngineResult> Compare(const char* name,
                                              EngineLoad load) {
  load.by_cost = false;
  const EngineResult counts = RunSeeds(name, load);
  load.by_cost = true;
  return {counts, RunSeeds(name, load)};
}

/// Rejections and preemptions per arrival that the operators accept.
constexpr double kRejectedTarget = 0.03;
constexpr double kPreemptedTarget = 0.01;

}  // namespace

// Guards against herds: with late counts, all daemons chose the same engines,
// which rejected up to a fifth of the requests.
TEST_CASE("work instead of counts leaves few rejections on a heavy day") {
  for (const std::size_t daemons :
       {std::size_t{4}, std::size_t{28}, std::size_t{71}, std::size_t{118}}) {
    CAPTURE(daemons);
    const auto [counts, work] = Compare(
        "heavy",
        {.daemons = daemons, .requests_per_s = 28, .make_request = MakeUsual});
    CHECK(work.RejectedShare() <= kRejectedTarget);
    CHECK(work.PreemptedShare() <= kPreemptedTarget);
    CHECK(work.use >= counts.use);
  }
}

// Guards against routes whose requests differ by a factor of 100.
TEST_CASE("costs far apart in one class cause fewer faults than by counts") {
  const auto [counts, work] =
      Compare("apart", {.requests_per_s = 28, .make_request = MakeFarApart});
  CHECK(work.rejected <= counts.rejected);
  CHECK(work.preempted <= counts.preempted);
}

// Guards against estimates that hold on to what a class once was.
TEST_CASE("a class that changes causes fewer faults than by counts") {
  const auto [counts, work] =
      Compare("changes", {.requests_per_s = 28, .make_request = MakeChanging});
  CHECK(work.rejected <= counts.rejected);
  CHECK(work.preempted <= counts.preempted);
}

// Guards against callers that state a small output and produce a large one.
TEST_CASE("a caller that lies causes fewer faults than by counts") {
  const auto [counts, work] =
      Compare("lies", {.requests_per_s = 28, .make_request = MakeLying});
  CHECK(work.rejected <= counts.rejected);
  CHECK(work.preempted <= counts.preempted);
}

// Guards against an engine that holds requests for longer than its kind.
TEST_CASE("a slow accelerator causes fewer faults than by counts") {
  const auto [counts, work] = Compare(
      "slow",
      {.requests_per_s = 28, .make_request = MakeUsual, .slow_factor = 4});
  CHECK(work.rejected <= counts.rejected);
  CHECK(work.preempted <= counts.preempted);
}

}  // namespace wisteriayoke
