#include "bench/experiment.h"

#include <doctest/doctest.h>

#include <string>

#include "bench/bench_report.h"
#include "bench/bench_run.h"
#include "bench/job_statistics.h"

namespace wisteriayoke {

TEST_CASE("equal seeds give equal lines, different seeds different ones") {
  const auto print = [](std::uint64_t seed) {
    return FormatLines({Experiment::kCrest, RoutingKind::kTwoChoices, seed,
                        RunExperiment(Experiment::kCrest, {}, seed)});
  };
  const std::string first = print(1);
  CHECK(first == print(1));
  CHECK(first != print(2));
}

TEST_CASE("a target is reported missed below its bound and met at it") {
  BenchResult result{Experiment::kBound, RoutingKind::kTwoChoices, 1, {}};
  result.metrics.push_back({"busy", 0.96, "ratio"});
  bool all_met = true;
  CHECK(FormatTargets({result}, all_met).starts_with("missed bound.busy"));
  CHECK_FALSE(all_met);
  result.metrics[0].value = 0.97;
  CHECK(FormatTargets({result}, all_met).starts_with("met "));
  CHECK(all_met);
}

TEST_CASE("each request of a run ends exactly once: done, refused or lost") {
  BenchRun run(
      {},
      {.rate = [](Duration) { return 1.3; }, .length = std::chrono::seconds(4)},
      3);
  run.ScheduleAt(std::chrono::seconds(2), [&run] { run.KillUpstream(1); });
  run.Run();
  for (const auto& job : run.jobs()) {
    const int ends = (job->done() ? 1 : 0) +
                     (job->refused.has_value() ? 1 : 0) + (job->lost ? 1 : 0);
    REQUIRE(ends == 1);
  }
}

}  // namespace wisteriayoke
