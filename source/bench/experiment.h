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

/// What the bench measures.
enum class Experiment {
  kBound,
  kRecovery,
  kTightRecovery,  ///< The upstreams that are left are 94% busy.
  kCrest,
  kBlocking,
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

/// Runs `experiment` under `policy`; the same seed gives the same values.
std::vector<Metric> RunExperiment(Experiment experiment, BenchPolicy policy,
                                  std::uint64_t seed);

/// Whether a metric must reach its bound or stay under it.
enum class TargetSense { kAtLeast, kAtMost };

inline constexpr auto kTargetSenseNames = MakeNamesTable<TargetSense>({
    {TargetSense::kAtLeast, ">="},
    {TargetSense::kAtMost, "<="},
});

/// What a metric of the current policy has to reach.
struct Target {
  Experiment experiment;
  std::string_view metric;
  TargetSense sense;
  double bound;
};

/// Returns all targets.
std::span<const Target> TargetTable();

/// Tells whether `value` meets `target`.
bool MeetsTarget(const Target& target, double value);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_EXPERIMENT_H_
