#ifndef WISTERIAYOKE_BENCH_EXPERIMENT_H_
#define WISTERIAYOKE_BENCH_EXPERIMENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/names_table.h"
#include "bench/bench_daemon.h"

namespace wisteriayoke {

/// Experiments of the bench.
enum class Experiment {
  kBound,          ///< Throughput at 150% load.
  kRecovery,       ///< An instance or a daemon fails at 80% load.
  kTightRecovery,  ///< An instance fails; the other upstreams are 94% busy.
  kCrest,          ///< Load rises from 60% to 200%.
  kBlocking,       ///< Waits of short requests beside long ones.
};

inline constexpr auto kExperimentNames = MakeNamesTable<Experiment>({
    {Experiment::kBound, "bound"},
    {Experiment::kRecovery, "recovery"},
    {Experiment::kTightRecovery, "tight-recovery"},
    {Experiment::kCrest, "crest"},
    {Experiment::kBlocking, "blocking"},
});

/// One measured value.
struct Metric {
  std::string name;
  double value = 0.0;
  std::string_view unit;
};

/// Runs `experiment` under `policy`; the result depends only on the arguments.
std::vector<Metric> RunExperiment(Experiment experiment, BenchPolicy policy,
                                  std::uint64_t seed);

/// Whether the bound of a target is a lower or an upper bound.
enum class TargetSense { kAtLeast, kAtMost };

inline constexpr auto kTargetSenseNames = MakeNamesTable<TargetSense>({
    {TargetSense::kAtLeast, ">="},
    {TargetSense::kAtMost, "<="},
});

/// Bound that a metric must meet under the policy two-choices.
struct Target {
  Experiment experiment;
  std::string_view metric;
  TargetSense sense;
  double bound;
};

/// Returns all targets.
std::span<const Target> TargetTable();

/// Returns whether `value` meets `target`.
bool MeetsTarget(const Target& target, double value);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_EXPERIMENT_H_
