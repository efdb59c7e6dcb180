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

/// The load of one run.
struct BenchLoad {
  /// Requests a second, as a multiple of the upstreams' capacity for short
  /// ones, at a point of the run.
  std::function<double(Duration)> rate;
  Duration length = std::chrono::seconds(20);
  /// Time after the last arrival in which requests may still end.
  Duration tail = std::chrono::seconds(10);
  double long_share = 0.0;
  bool omit_long = false;  ///< Same arrivals, but long ones never come.
};

/// Four daemons before forty upstreams of three accelerator kinds, in virtual
/// time, with one load.
class BenchRun {
 public:
  static constexpr std::size_t kDaemons = 4;
  static constexpr std::size_t kUpstreams = 40;
  static constexpr std::size_t kWorkspaces = 10;
  static constexpr std::uint32_t kSlots = 8;
  /// Length of a long request, as a multiple of a typical one.
  static constexpr std::uint32_t kLongFactor = 50;

  BenchRun(BenchPolicy policy, BenchLoad load, std::uint64_t seed);

  /// Runs `call` at `time` of the run; for faults.
  void At(Duration time, std::function<void()> call);

  /// Runs the whole load.
  void Run();

  void KillUpstream(std::size_t index) { UpstreamAt(index).Kill(); }
  void ReviveUpstream(std::size_t index) { UpstreamAt(index).Revive(); }
  void KillDaemon(std::size_t index) { daemons_[index]->Kill(); }

  /// Short requests that all upstreams together end in a second.
  double capacity() const { return capacity_; }
  /// Busy time of all slots so far.
  Duration busy_time() const;
  std::uint64_t sends() const;
  const std::vector<BenchJobPtr>& jobs() const { return jobs_; }

  /// Share of the demand that workspace `index` makes up, and its weight.
  static double DemandOf(std::size_t index);
  static std::uint32_t WeightOf(std::size_t index);

 private:
  FakeUpstream& UpstreamAt(std::size_t index) {
    return *upstreams_.at(pool_.upstreams[index].name);
  }
  void BuildPool();
  void Arrive();
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
