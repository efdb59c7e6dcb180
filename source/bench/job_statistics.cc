#include "bench/job_statistics.h"

#include <algorithm>
#include <array>

#include "bench/bench_run.h"

namespace wisteriayoke {
namespace {

constexpr Duration kBinWidth = std::chrono::milliseconds(250);
constexpr Duration kBaselineWindow = std::chrono::seconds(5);
constexpr double kRecoveredShare = 0.95;

using Shares = std::array<double, BenchRun::kWorkspaces>;

double ToMilliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

/// Returns the weighted max-min fair shares of `capacity`: capacity that a
/// workspace does not need is shared between the others.
Shares ComputeFairShares(const Shares& demand, double capacity) {
  Shares fair{};
  std::array<bool, BenchRun::kWorkspaces> full{};
  for (std::size_t round = 0; round < fair.size(); ++round) {
    double weights = 0.0;
    double left = capacity;
    for (std::size_t i = 0; i < fair.size(); ++i) {
      left -= full.at(i) ? fair.at(i) : 0.0;
      weights += full.at(i) ? 0.0 : BenchRun::WeightOf(i);
    }
    for (std::size_t i = 0; i < fair.size(); ++i) {
      if (full.at(i)) continue;
      const double share = left * BenchRun::WeightOf(i) / weights;
      fair.at(i) = std::min(share, demand.at(i));
    }
    for (std::size_t i = 0; i < fair.size(); ++i) {
      full.at(i) = fair.at(i) >= demand.at(i);
    }
  }
  return fair;
}

}  // namespace

BenchJobs SelectJobs(const BenchJobs& jobs,
                     const std::function<bool(const BenchJob&)>& predicate) {
  BenchJobs selected;
  for (const auto& job : jobs) {
    if (predicate(*job)) selected.push_back(job);
  }
  return selected;
}

BenchJobs SelectArrivals(const BenchJobs& jobs, Duration from, Duration to) {
  return SelectJobs(jobs, [from, to](const BenchJob& job) {
    return job.arrival >= TimePoint(from) && job.arrival < TimePoint(to);
  });
}

double GoodputOf(const BenchJobs& jobs, Duration from, Duration to) {
  const auto good = SelectJobs(jobs, [from, to](const BenchJob& job) {
    return IsGood(job) && *job.end >= TimePoint(from) &&
           *job.end < TimePoint(to);
  });
  return static_cast<double>(good.size()) /
         std::chrono::duration<double>(to - from).count();
}

bool IsGood(const BenchJob& job) {
  return job.done() && job.wait() <= kFirstTokenLimit;
}

bool IsWellPaced(const BenchJob& job) {
  return IsGood(job) &&
         (*job.end - *job.first_token) / job.tokens <= kTokenGapLimit;
}

double ShareOf(const BenchJobs& jobs,
               const std::function<bool(const BenchJob&)>& predicate) {
  if (jobs.empty()) return 1.0;
  return static_cast<double>(SelectJobs(jobs, predicate).size()) /
         static_cast<double>(jobs.size());
}

double WaitPercentile(const BenchJobs& jobs, double percentile) {
  std::vector<double> waits;
  for (const auto& job : jobs) {
    if (job->first_token) waits.push_back(ToMilliseconds(job->wait()));
  }
  if (waits.empty()) return 0.0;
  std::sort(waits.begin(), waits.end());
  const auto rank =
      static_cast<std::size_t>(percentile * static_cast<double>(waits.size()));
  return waits[std::min(rank, waits.size() - 1)];
}

double RecoveryTime(const BenchJobs& jobs, Duration fault, Duration end) {
  const double baseline =
      ShareOf(SelectArrivals(jobs, fault - kBaselineWindow, fault), IsGood);
  Duration recovered = fault;
  for (Duration bin = fault; bin + kBinWidth <= end; bin += kBinWidth) {
    const auto arrivals = SelectArrivals(jobs, bin, bin + kBinWidth);
    if (ShareOf(arrivals, IsGood) < kRecoveredShare * baseline) {
      recovered = bin + kBinWidth;
    }
  }
  return ToMilliseconds(recovered - fault);
}

double LowestFairShare(const BenchJobs& jobs, double capacity) {
  Shares demand{};
  Shares served{};
  for (const auto& job : jobs) {
    demand.at(job->workspace) += 1.0;
    if (IsGood(*job)) served.at(job->workspace) += 1.0;
  }
  const Shares fair = ComputeFairShares(demand, capacity);
  double lowest = 1.0;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    if (fair.at(i) > 0.0) lowest = std::min(lowest, served.at(i) / fair.at(i));
  }
  return lowest;
}

}  // namespace wisteriayoke
