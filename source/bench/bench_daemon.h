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

/// What the daemons of one run decide by.
struct BenchPolicy {
  RoutingKind routing = RoutingKind::kTwoChoices;
  /// Whether requests pass admission; the baselines send each on at once.
  bool admission = true;
};

/// The upstreams of a run; all daemons share them.
using FakeUpstreams = std::map<UpstreamName, std::unique_ptr<FakeUpstream>>;

/// Joins the deciders of one daemon and carries out their actions on the fake
/// upstreams.
class BenchDaemon {
 public:
  BenchDaemon(VirtualTime& time, const Pool& pool, FakeUpstreams& upstreams,
              BenchPolicy policy, std::size_t number, std::uint64_t seed);

  /// Lets the daemon tell its in-flight counts to `peers`.
  void Start(std::vector<BenchDaemon*> peers);

  /// Offers a request; it ends as done, refused or lost.
  void Offer(const BenchJobPtr& job);

  /// Ends the daemon at once; its requests break.
  void Kill();

  bool alive() const { return alive_; }
  std::uint64_t sends() const { return sends_; }

 private:
  void Feed(const AdmissionEvent& event);
  void Carry(const AdmitRequest& action);
  void Carry(const RefuseRequest& action);
  void Carry(const SuspendRequest& action);
  void Carry(const ResumeRequest& action);

  void Dispatch(const BenchJobPtr& job);
  void Send(const BenchJobPtr& job, const UpstreamName& name);
  void HandleBegin(const BenchJobPtr& job, TimePoint sent);
  void HandleEnd(const BenchJobPtr& job, const UpstreamName& name,
                 TimePoint sent);
  void HandleBreak(const BenchJobPtr& job, const UpstreamName& name);
  void Finish(const BenchJobPtr& job);

  void AnnounceLoads();
  void ReadReports();
  void Tick();
  /// Schedules `call` unless the daemon was killed by then.
  void After(Duration delay, std::function<void()> call);

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
  std::map<TicketNumber, UpstreamName> places_;  ///< Of the running jobs.
  bool alive_ = true;
  std::uint64_t sends_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BENCH_BENCH_DAEMON_H_
