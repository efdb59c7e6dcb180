#ifndef WISTERIAYOKE_BENCH_JOB_STATISTICS_H_
#define WISTERIAYOKE_BENCH_JOB_STATISTICS_H_

#include <functional>
#include <vector>

#include "bench/bench_job.h"

namespace wisteriayoke {

using BenchJobs = std::vector<BenchJobPtr>;

/// Longest wait for the first token of a good request, and longest mean time
/// between tokens of a well-paced one.
inline constexpr Duration kFirstTokenLimit = std::chrono::milliseconds(1800);
inline constexpr Duration kTokenGapLimit = std::chrono::milliseconds(26);

/// Returns the jobs for which `predicate` holds.
BenchJobs SelectJobs(const BenchJobs& jobs,
                     const std::function<bool(const BenchJob&)>& predicate);

/// Returns the jobs that arrived in [from, to) of the run.
BenchJobs SelectArrivals(const BenchJobs& jobs, Duration from, Duration to);

/// Returns whether `job` is done and its first token met kFirstTokenLimit.
bool IsGood(const BenchJob& job);

/// Returns how many good jobs ended per second in [from, to).
double GoodputOf(const BenchJobs& jobs, Duration from, Duration to);

/// Returns whether `job` is good and its mean time between tokens met
/// kTokenGapLimit.
bool IsWellPaced(const BenchJob& job);

/// Returns the share of `jobs` for which `predicate` holds; 1 if there are
/// none.
double ShareOf(const BenchJobs& jobs,
               const std::function<bool(const BenchJob&)>& predicate);

/// Returns the given percentile (0 to 1) of the waits for the first token, in
/// ms; 0 if no job has one.
double WaitPercentile(const BenchJobs& jobs, double percentile);

/// Returns the time after `fault`, in ms, from which on every bin of arrivals
/// has at least 95% of the share of good requests before the fault.
double RecoveryTime(const BenchJobs& jobs, Duration fault, Duration end);

/// Returns the lowest ratio over the workspaces of good requests to the
/// workspace's weighted max-min fair share of `capacity` requests, at most 1.
double LowestFairShare(const BenchJobs& jobs, double capacity);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_JOB_STATISTICS_H_
