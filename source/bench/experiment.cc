#include "bench/experiment.h"

#include <algorithm>
#include <array>

#include "bench/bench_run.h"
#include "bench/job_statistics.h"

namespace wisteriayoke {
namespace {

using std::chrono::seconds;
using Metrics = std::vector<Metric>;

constexpr auto kTargets = std::to_array<Target>({
    {Experiment::kBound, "busy", TargetSense::kAtLeast, 0.97},
    {Experiment::kRecovery, "upstream_killed", TargetSense::kAtMost, 1000.0},
    {Experiment::kTightRecovery, "upstream_killed", TargetSense::kAtMost,
     1000.0},
    {Experiment::kRecovery, "lost", TargetSense::kAtMost, 0.0},
    {Experiment::kRecovery, "daemon_killed", TargetSense::kAtMost, 2000.0},
    {Experiment::kCrest, "goodput", TargetSense::kAtLeast, 0.95},
    {Experiment::kCrest, "admitted_in_time", TargetSense::kAtLeast, 0.95},
    {Experiment::kCrest, "latest_refusal", TargetSense::kAtMost, 50.0},
    {Experiment::kCrest, "lowest_fair_share", TargetSense::kAtLeast, 0.9},
    {Experiment::kBlocking, "short_p99_ratio", TargetSense::kAtMost, 1.2},
    {Experiment::kBlocking, "long_finished", TargetSense::kAtLeast, 1.0},
    {Experiment::kBlocking, "full_short_p99_ratio", TargetSense::kAtMost, 1.2},
    {Experiment::kBlocking, "full_long_finished", TargetSense::kAtLeast, 1.0},
});

double ToSeconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

std::function<double(Duration)> Constant(double rate) {
  return [rate](Duration) { return rate; };
}

Metrics RunBound(BenchPolicy policy, std::uint64_t seed) {
  constexpr Duration kFrom = seconds(5);
  constexpr Duration kTo = seconds(20);
  BenchRun run(policy, {.rate = Constant(1.5), .length = kTo}, seed);
  Duration before = Duration::zero();
  Duration after = Duration::zero();
  run.ScheduleAt(kFrom, [&] { before = run.busy_time(); });
  run.ScheduleAt(kTo, [&] { after = run.busy_time(); });
  run.Run();
  const double slots = BenchRun::kUpstreams * BenchRun::kSlots;
  const auto arrivals = SelectArrivals(run.jobs(), kFrom, kTo);
  return {
      {"busy", ToSeconds(after - before) / ToSeconds(kTo - kFrom) / slots,
       "ratio"},
      {"goodput", GoodputOf(run.jobs(), kFrom, kTo) / run.capacity(), "ratio"},
      {"p95_wait", WaitPercentile(arrivals, 0.95), "ms"},
  };
}

/// Number of upstreams on the killed instance; they fail together.
constexpr std::size_t kKilledUpstreams = 4;
/// Load that the remaining upstreams can serve.
constexpr double kRecoveryRate = 0.8;
/// Load at which the remaining upstreams are 94% busy.
constexpr double kTightRate = 0.85;
constexpr Duration kFaultTime = seconds(10);
constexpr Duration kReviveTime = seconds(15);
constexpr Duration kRunEnd = seconds(20);

double CountLost(const BenchRun& run) {
  return static_cast<double>(
      SelectJobs(run.jobs(), [](const auto& job) { return job.lost; }).size());
}

void KillInstance(BenchRun& run) {
  for (std::size_t i = 0; i < kKilledUpstreams; ++i) run.KillUpstream(i);
}

Metrics RunRecovery(BenchPolicy policy, std::uint64_t seed) {
  BenchRun run(policy, {.rate = Constant(kRecoveryRate), .length = kRunEnd},
               seed);
  run.ScheduleAt(kFaultTime, [&] { KillInstance(run); });
  run.ScheduleAt(kReviveTime, [&] {
    for (std::size_t i = 0; i < kKilledUpstreams; ++i) run.ReviveUpstream(i);
  });
  run.Run();
  BenchRun daemon_run(
      policy, {.rate = Constant(kRecoveryRate), .length = kRunEnd}, seed);
  daemon_run.ScheduleAt(kFaultTime, [&] { daemon_run.KillDaemon(0); });
  daemon_run.Run();
  const double jobs = static_cast<double>(run.jobs().size());
  return {
      {"upstream_killed", RecoveryTime(run.jobs(), kFaultTime, kReviveTime),
       "ms"},
      {"upstream_returned", RecoveryTime(run.jobs(), kReviveTime, kRunEnd),
       "ms"},
      {"lost", CountLost(run), "requests"},
      {"sends_per_request", static_cast<double>(run.sends()) / jobs, "ratio"},
      {"daemon_killed", RecoveryTime(daemon_run.jobs(), kFaultTime, kRunEnd),
       "ms"},
  };
}

Metrics RunTightRecovery(BenchPolicy policy, std::uint64_t seed) {
  BenchRun run(policy, {.rate = Constant(kTightRate), .length = kRunEnd}, seed);
  run.ScheduleAt(kFaultTime, [&] { KillInstance(run); });
  run.Run();
  const auto after = SelectArrivals(run.jobs(), kFaultTime, kRunEnd);
  return {
      {"upstream_killed", RecoveryTime(run.jobs(), kFaultTime, kRunEnd), "ms"},
      {"served_after", ShareOf(after, IsGood), "ratio"},
      {"lost", CountLost(run), "requests"},
  };
}

constexpr Duration kCrestStart = seconds(5);
constexpr Duration kCrestTop = seconds(7);
constexpr double kUsualRate = 0.6;
constexpr double kCrestRate = 2.0;

double CrestRate(Duration now) {
  const double rise =
      ToSeconds(now - kCrestStart) / ToSeconds(kCrestTop - kCrestStart);
  return kUsualRate + (kCrestRate - kUsualRate) * std::clamp(rise, 0.0, 1.0);
}

double LatestRefusal(const BenchJobs& jobs) {
  Duration latest = Duration::zero();
  for (const auto& job : jobs) {
    if (job->refused) latest = std::max(latest, *job->refused - job->arrival);
  }
  return ToSeconds(latest) * 1000.0;
}

Metrics RunCrest(BenchPolicy policy, std::uint64_t seed) {
  BenchRun run(policy, {.rate = CrestRate, .length = kRunEnd}, seed);
  run.Run();
  const auto crest = SelectArrivals(run.jobs(), kCrestStart, kRunEnd);
  const auto top = SelectArrivals(run.jobs(), kCrestTop, kRunEnd);
  const auto admitted =
      SelectJobs(crest, [](const auto& job) { return !job.refused; });
  const double capacity = run.capacity() * ToSeconds(kRunEnd - kCrestTop);
  return {
      {"goodput", GoodputOf(run.jobs(), kCrestTop, kRunEnd) / run.capacity(),
       "ratio"},
      {"admitted_in_time", ShareOf(admitted, IsWellPaced), "ratio"},
      {"p95_wait", WaitPercentile(admitted, 0.95), "ms"},
      {"latest_refusal", LatestRefusal(crest), "ms"},
      {"lowest_fair_share", LowestFairShare(top, capacity), "ratio"},
  };
}

/// Load at which short requests occupy a quarter of the slots, and all requests
/// together 85%.
constexpr double kMixedRate = 0.265;
/// Load at which short requests need a third of the slots, and all requests
/// together 110%.
constexpr double kFullMixedRate = 0.345;

struct BlockingWaits {
  BenchJobs long_jobs;
  double short_p99 = 0.0;
  double short_p99_alone = 0.0;
};

BlockingWaits MeasureBlocking(BenchPolicy policy, double rate,
                              std::uint64_t seed) {
  BenchLoad load{.rate = Constant(rate),
                 .length = seconds(120),
                 .tail = seconds(400),
                 .long_share = 0.05};
  BenchRun mixed(policy, load, seed);
  mixed.Run();
  load.omit_long = true;
  BenchRun alone(policy, load, seed);
  alone.Run();
  const auto is_short = [](const BenchJob& job) {
    return job.size == WorkSize::kShort;
  };
  const auto is_long = [](const BenchJob& job) {
    return job.size == WorkSize::kLong;
  };
  return {SelectJobs(mixed.jobs(), is_long),
          WaitPercentile(SelectJobs(mixed.jobs(), is_short), 0.99),
          WaitPercentile(SelectJobs(alone.jobs(), is_short), 0.99)};
}

Metrics RunBlocking(BenchPolicy policy, std::uint64_t seed) {
  const auto usual = MeasureBlocking(policy, kMixedRate, seed);
  const auto full = MeasureBlocking(policy, kFullMixedRate, seed);
  const auto is_done = [](const BenchJob& job) { return job.done(); };
  return {
      {"short_p99_wait", usual.short_p99, "ms"},
      {"short_p99_wait_alone", usual.short_p99_alone, "ms"},
      {"short_p99_ratio", usual.short_p99 / usual.short_p99_alone, "ratio"},
      {"long_finished", ShareOf(usual.long_jobs, is_done), "ratio"},
      {"long_p99_wait", WaitPercentile(usual.long_jobs, 0.99), "ms"},
      {"long_well_paced", ShareOf(usual.long_jobs, IsWellPaced), "ratio"},
      {"full_short_p99_ratio", full.short_p99 / full.short_p99_alone, "ratio"},
      {"full_long_finished", ShareOf(full.long_jobs, is_done), "ratio"},
  };
}

}  // namespace

std::vector<Metric> RunExperiment(Experiment experiment, BenchPolicy policy,
                                  std::uint64_t seed) {
  switch (experiment) {
    case Experiment::kBound:
      return RunBound(policy, seed);
    case Experiment::kRecovery:
      return RunRecovery(policy, seed);
    case Experiment::kTightRecovery:
      return RunTightRecovery(policy, seed);
    case Experiment::kCrest:
      return RunCrest(policy, seed);
    case Experiment::kBlocking:
      return RunBlocking(policy, seed);
  }
  return {};
}

std::span<const Target> TargetTable() { return kTargets; }

bool MeetsTarget(const Target& target, double value) {
  return target.sense == TargetSense::kAtLeast ? value >= target.bound
                                               : value <= target.bound;
}

}  // namespace wisteriayoke
