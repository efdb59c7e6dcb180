#ifndef WISTERIAYOKE_BENCH_BENCH_REPORT_H_
#define WISTERIAYOKE_BENCH_BENCH_REPORT_H_

#include <string>
#include <vector>

#include "bench/experiment.h"

namespace wisteriayoke {

/// The metrics of one experiment under one policy and seed.
struct BenchResult {
  Experiment experiment = Experiment::kBound;
  RoutingKind policy = RoutingKind::kTwoChoices;
  std::uint64_t seed = 0;
  std::vector<Metric> metrics;
};

/// Returns a line "experiment.policy.metric=value unit" for each metric.
std::string FormatLines(const BenchResult& result);

/// Returns the results as one JSON array.
std::string FormatJson(const std::vector<BenchResult>& results);

/// Returns a bar chart of each metric by policy, as SVG.
std::string FormatSvg(const std::vector<BenchResult>& results);

/// Returns a line for each target: "met" or "missed", and the worst value over
/// `results`. Sets `all_met` to whether all targets were met.
std::string FormatTargets(const std::vector<BenchResult>& results,
                          bool& all_met);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_BENCH_REPORT_H_
