#ifndef WISTERIAYOKE_BENCH_BENCH_DAEMON_H_
#define WISTERIAYOKE_BENCH_BENCH_DAEMON_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/bench_job.h"
#include "bench/fake_upstream.h"
#include "bench/virtual_time.h"
#include "decisions/admission.h"
#include "decisions/peer_loads.h"
#include "decisions/retry_budget.h"
#include "decisions/routing.h"
#include "decisions/upstream_tracker.h"

namespace wisteriayoke {

/// Policy of the daemons of one run.
struct BenchPolicy {
  RoutingKind routing = RoutingKind::kTwoChoices;
  /// Whether requests go through admission; the baseline policies dispatch each
  /// request at once.
  bool admission = true;
};

/// The upstreams of a run, shared by all daemons.
using FakeUpstreams = std::map<UpstreamName, std::unique_ptr<FakeUpstream>>;

/// Simulated daemon: connects the deciders of a daemon and executes their
/// actions on the fake upstreams.
class BenchDaemon {
 public:
  BenchDaemon(VirtualTime& time, const Pool& pool, FakeUpstreams& upstreams,
              BenchPolicy policy, std::size_t number, std::uint64_t seed);

  /// Starts the periodic work: admission ticks, polls of load reports and
  /// announcements of in-flight counts to `peers`.
  void Start(std::vector<BenchDaemon*> peers);

  /// Accepts a new request, which ends as done, refused or lost.
  void Offer(const BenchJobPtr& job);

  /// Ends the daemon at once; its requests are lost.
  void Kill();

  bool alive() const { return alive_; }
  std::uint64_t sends() const { return sends_; }

 private:
  void HandleEvent(const AdmissionEvent& event);
  void Execute(const AdmitRequest& action);
  void Execute(const RefuseRequest& action);
  void Execute(const SuspendRequest& action);
  void Execute(const ResumeRequest& action);

  void Dispatch(const BenchJobPtr& job);
  void Send(const BenchJobPtr& job, const UpstreamName& name);
  void HandleBegin(const BenchJobPtr& job, TimePoint sent);
  void HandleEnd(const BenchJobPtr& job, const UpstreamName& name,
                 TimePoint sent);
  void HandleBreak(const BenchJobPtr& job, const UpstreamName& name);
  void Finish(const BenchJobPtr& job);

  void AnnounceLoads();
  void PollLoadReports();
  void Tick();
  /// Schedules `call`; it is dropped if the daemon has been killed by then.
  void ScheduleWhileAlive(Duration delay, std::function<void()> call);

  VirtualTime& time_;
  const Pool& pool_;
  FakeUpstreams& upstreams_;
  BenchPolicy policy_;
  DaemonName name_;
  std::mt19937_64 random_;
  RoutingPolicy routing_;
  UpstreamTracker tracker_;
  PeerLoads peer_loads_;
  RetryBudget budget_;
  Admission admission_;
  std::vector<BenchDaemon*> peers_;
  std::map<TicketNumber, BenchJobPtr> jobs_;
  /// Upstream of each running job.
  std::map<TicketNumber, UpstreamName> assignments_;
  bool alive_ = true;
  std::uint64_t sends_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_BENCH_DAEMON_H_
