#include <doctest/doctest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "engine_simulation.h"

namespace wisteriayoke {
namespace {

/// Prompts of 700 to 800 tokens, outputs of 225 on average with a heavy tail.
std::pair<RequestTraits, double> MakeUsual(std::mt19937_64& random,
                                           double /*seconds*/) {
  RequestTraits traits;
  traits.route = RouteName("r" + std::to_string(random() % 4));
  traits.workspace = WorkspaceName("w" + std::to_string(random() % 20));
  traits.prompt_tokens =
      std::clamp(std::normal_distribution<double>(750, 120)(random), 300.0,
                 1500.0);
  traits.max_output_tokens = 1024;
  const double output =
      std::lognormal_distribution<double>(5.2, 0.6)(random);
  return {traits, std::clamp(output, 10.0, 1024.0)};
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

}  // namespace

TEST_CASE("trial") {
  const char* rate = std::getenv("RATE");
  for (const std::size_t daemons : {std::size_t{4}, std::size_t{28}, std::size_t{71}, std::size_t{118}}) {
    for (const bool by_cost : {false, true}) {
      EngineLoad load{.daemons = daemons,
                      .by_cost = by_cost,
                      .requests_per_s = rate ? std::atof(rate) : 100,
                      .make_request = MakeUsual};
      Print("usual", load, EngineSimulation(load).Run());
    }
  }
}

}  // namespace wisteriayoke
