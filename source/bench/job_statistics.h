#ifndef WISTERIAYOKE_BENCH_JOB_STATISTICS_H_
#define WISTERIAYOKE_BENCH_JOB_STATISTICS_H_

#include <functional>
#include <vector>

#include "bench/bench_job.h"

namespace wisteriayoke {

using BenchJobs = std::vector<BenchJobPtr>;

/// Longest wait for the first token, and longest mean time between tokens, of
/// a request that counts as well served.
inline constexpr Duration kFirstTokenLimit = std::chrono::milliseconds(1800);
inline constexpr Duration kTokenGapLimit = std::chrono::milliseconds(26);

/// Returns the jobs for which `predicate` holds.
BenchJobs SelectJobs(const BenchJobs& jobs,
                     const std::function<bool(const BenchJob&)>& predicate);

/// Returns the jobs that arrived in [from, to) of the run.
BenchJobs SelectArrivals(const BenchJobs& jobs, Duration from, Duration to);

/// Tells whether `job` ended whole and began in time.
bool IsGood(const BenchJob& job);

/// Returns how many good jobs ended in a second of [from, to).
double GoodputOf(const BenchJobs& jobs, Duration from, Duration to);

/// Tells whether `job` began in time and kept the pace between tokens.
bool IsWellPaced(const BenchJob& job);

/// Share of `jobs` for which `predicate` holds; 1 of none.
double ShareOf(const BenchJobs& jobs,
               const std::function<bool(const BenchJob&)>& predicate);

/// Percentile of the wait for the first token, in ms.
double WaitPercentile(const BenchJobs& jobs, double percentile);

/// Time after `fault` from which on 95% of the former share of good requests
/// is reached in every bin of arrivals, in ms.
double RecoveryTime(const BenchJobs& jobs, Duration fault, Duration end);

/// Lowest ratio, over the workspaces, of what was served to the workspace's
/// weighted max-min fair share of `capacity` requests.
double LowestFairShare(const BenchJobs& jobs, double capacity);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_JOB_STATISTICS_H_
