#ifndef WISTERIAYOKE_BENCH_BENCH_RUN_H_
#define WISTERIAYOKE_BENCH_BENCH_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "bench/bench_daemon.h"
#include "bench/bench_job.h"
#include "bench/fake_upstream.h"
#include "bench/virtual_time.h"

namespace wisteriayoke {

/// Load of one run.
struct BenchLoad {
  /// Arrival rate at a time of the run, as a multiple of the upstreams'
  /// capacity for short requests.
  std::function<double(Duration)> rate;
  Duration length = std::chrono::seconds(20);
  /// Time after the last arrival during which requests may still end.
  Duration tail = std::chrono::seconds(10);
  double long_share = 0.0;
  bool omit_long = false;  ///< Same arrivals without the long requests.
};

/// Simulates four daemons and forty upstreams of three accelerator kinds under
/// one load, in virtual time.
class BenchRun {
 public:
  static constexpr std::size_t kDaemons = 4;
  static constexpr std::size_t kUpstreams = 40;
  static constexpr std::size_t kWorkspaces = 10;
  static constexpr std::uint32_t kSlots = 8;
  /// Tokens of a long request, as a multiple of a short one's.
  static constexpr std::uint32_t kLongFactor = 50;

  BenchRun(BenchPolicy policy, BenchLoad load, std::uint64_t seed);

  /// Schedules `call` at `time` of the run, for example to inject a fault.
  void ScheduleAt(Duration time, std::function<void()> call);

  /// Runs the whole load and its tail.
  void Run();

  void KillUpstream(std::size_t index) { UpstreamAt(index).Kill(); }
  void ReviveUpstream(std::size_t index) { UpstreamAt(index).Revive(); }
  void KillDaemon(std::size_t index) { daemons_[index]->Kill(); }

  /// Short requests that all upstreams together can complete per second.
  double capacity() const { return capacity_; }
  /// Busy time of all slots so far.
  Duration busy_time() const;
  std::uint64_t sends() const;
  const std::vector<BenchJobPtr>& jobs() const { return jobs_; }

  /// Return the share of the demand and the weight of workspace `index`.
  static double DemandOf(std::size_t index);
  static std::uint32_t WeightOf(std::size_t index);

 private:
  FakeUpstream& UpstreamAt(std::size_t index) {
    return *upstreams_.at(pool_.upstreams[index].name);
  }
  void BuildPool();
  void ScheduleArrival();
  BenchJobPtr MakeJob();
  BenchDaemon& ChooseDaemon();

  VirtualTime time_;
  BenchLoad load_;
  std::mt19937_64 random_;
  Pool pool_;
  FakeUpstreams upstreams_;
  std::vector<std::unique_ptr<BenchDaemon>> daemons_;
  double capacity_ = 0.0;
  std::vector<BenchJobPtr> jobs_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_BENCH_RUN_H_
