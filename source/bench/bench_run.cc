#include "bench/bench_run.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace wisteriayoke {
namespace {

using std::chrono::milliseconds;

/// Tokens of a short request: uniformly distributed between these bounds.
constexpr std::uint32_t kMinTokens = 20;
constexpr std::uint32_t kMaxTokens = 80;
constexpr std::uint32_t kTypicalTokens = (kMinTokens + kMaxTokens) / 2;

constexpr std::array<AcceleratorSpeed, 3> kSpeeds{
    AcceleratorSpeed{milliseconds(60), milliseconds(10)},
    AcceleratorSpeed{milliseconds(90), milliseconds(15)},
    AcceleratorSpeed{milliseconds(130), milliseconds(22)}};
constexpr std::array<const char*, 3> kKinds{"a", "b", "c"};

/// Weights and shares of the demand of each workspace: two large ones, a small
/// one whose demand far exceeds its fair share, and seven others.
constexpr std::array<std::uint32_t, BenchRun::kWorkspaces> kWeights{
    4, 3, 1, 1, 1, 1, 1, 1, 1, 1};
constexpr std::array<double, BenchRun::kWorkspaces> kDemand{
    0.25, 0.18, 0.25, 0.06, 0.06, 0.05, 0.05, 0.04, 0.03, 0.03};

}  // namespace

double BenchRun::DemandOf(std::size_t index) { return kDemand.at(index); }

std::uint32_t BenchRun::WeightOf(std::size_t index) {
  return kWeights.at(index);
}

BenchRun::BenchRun(BenchPolicy policy, BenchLoad load, std::uint64_t seed)
    : load_(std::move(load)), random_(seed) {
  BuildPool();
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons_.push_back(std::make_unique<BenchDaemon>(time_, pool_, upstreams_,
                                                     policy, i + 1, seed));
  }
  for (const auto& daemon : daemons_) {
    std::vector<BenchDaemon*> peers;
    for (const auto& peer : daemons_) {
      if (peer != daemon) peers.push_back(peer.get());
    }
    daemon->Start(std::move(peers));
  }
}

void BenchRun::BuildPool() {
  pool_.kind = RouteKind::kService;
  pool_.upstreams.resize(kUpstreams);
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    const std::size_t kind = i % kSpeeds.size();
    UpstreamSpec& spec = pool_.upstreams[i];
    spec.name = UpstreamName("upstream" + std::to_string(i));
    spec.accelerator = kKinds.at(kind);
    spec.slots = kSlots;
    const AcceleratorSpeed& speed = kSpeeds.at(kind);
    upstreams_.emplace(spec.name,
                       std::make_unique<FakeUpstream>(time_, spec, speed));
    const Duration held = speed.prefill + kTypicalTokens * speed.token;
    capacity_ += kSlots / std::chrono::duration<double>(held).count();
  }
}

void BenchRun::ScheduleAt(Duration time, std::function<void()> call) {
  time_.Schedule(time, std::move(call));
}

void BenchRun::Run() {
  ScheduleArrival();
  time_.RunUntil(TimePoint(load_.length + load_.tail));
}

void BenchRun::ScheduleArrival() {
  const Duration now = time_.Now().time_since_epoch();
  if (now >= load_.length) return;
  std::exponential_distribution<double> gap(load_.rate(now) * capacity_);
  const std::chrono::duration<double> wait(gap(random_));
  time_.Schedule(std::chrono::duration_cast<Duration>(wait), [this] {
    const BenchJobPtr job = MakeJob();
    BenchDaemon& daemon = ChooseDaemon();
    if (job->size == WorkSize::kShort || !load_.omit_long) {
      jobs_.push_back(job);
      daemon.Offer(job);
    }
    ScheduleArrival();
  });
}

BenchJobPtr BenchRun::MakeJob() {
  auto job = std::make_shared<BenchJob>();
  std::discrete_distribution<std::size_t> workspace(kDemand.begin(),
                                                    kDemand.end());
  std::uniform_int_distribution<std::uint32_t> tokens(kMinTokens, kMaxTokens);
  std::bernoulli_distribution is_long(load_.long_share);
  job->number = jobs_.size() + 1;
  job->workspace = workspace(random_);
  job->weight = WeightOf(job->workspace);
  job->tokens = tokens(random_);
  job->arrival = time_.Now();
  if (is_long(random_)) {
    job->size = WorkSize::kLong;
    job->tokens *= kLongFactor;
  }
  return job;
}

BenchDaemon& BenchRun::ChooseDaemon() {
  std::uniform_int_distribution<std::size_t> pick(0, kDaemons - 1);
  std::size_t index = pick(random_);
  while (!daemons_[index]->alive()) index = (index + 1) % kDaemons;
  return *daemons_[index];
}

Duration BenchRun::busy_time() const {
  Duration sum = Duration::zero();
  for (const auto& [name, upstream] : upstreams_) sum += upstream->busy_time();
  return sum;
}

std::uint64_t BenchRun::sends() const {
  std::uint64_t sum = 0;
  for (const auto& daemon : daemons_) sum += daemon->sends();
  return sum;
}

}  // namespace wisteriayoke
