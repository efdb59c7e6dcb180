#include "bench/bench_daemon.h"

#include <utility>

#include "base/overloaded.h"
#include "decisions/pool_share.h"

namespace wisteriayoke {
namespace {

/// One-way delay between a daemon and an upstream or a peer.
constexpr Duration kLinkDelay = std::chrono::microseconds(500);
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(200);
constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/// Age of a load report when it reaches the daemon.
constexpr Duration kReportLag = std::chrono::milliseconds(250);
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
/// Time to cancel a suspended request and to export its KV cache.
constexpr Duration kSuspendTime = std::chrono::milliseconds(5);
constexpr Duration kDeadline = std::chrono::seconds(600);
constexpr std::uint32_t kMaxAttempts = 4;
/// Tokens of a typical request; its admission cost is 1.
constexpr double kTypicalTokens = 50.0;
/// Largest relative error of the daemon's estimate of a request's tokens.
constexpr double kEstimateError = 0.3;

}  // namespace

BenchDaemon::BenchDaemon(VirtualTime& time, const Pool& pool,
                         FakeUpstreams& upstreams, BenchPolicy policy,
                         std::size_t number, std::uint64_t seed)
    : time_(time),
      pool_(pool),
      upstreams_(upstreams),
      policy_(policy),
      name_("daemon" + std::to_string(number)),
      random_(seed * 1000 + number),
      routing_(MakeRoutingPolicy(policy.routing)) {}

void BenchDaemon::ScheduleWhileAlive(Duration delay,
                                     std::function<void()> call) {
  time_.Schedule(delay, [this, call = std::move(call)] {
    if (alive_) call();
  });
}

void BenchDaemon::Start(std::vector<BenchDaemon*> peers) {
  peers_ = std::move(peers);
  std::uniform_int_distribution<Duration::rep> phase(0, 200'000);
  Tick();
  ScheduleWhileAlive(Duration(phase(random_)), [this] { AnnounceLoads(); });
  ScheduleWhileAlive(Duration(phase(random_)), [this] { PollLoadReports(); });
}

void BenchDaemon::Tick() {
  const PoolShare share =
      ComputePoolShare(pool_, tracker_, peer_loads_, time_.Now());
  HandleEvent(SlotsChanged{share.slots, share.even_slots});
  HandleEvent(TimePassed{});
  ScheduleWhileAlive(kTickInterval, [this] { Tick(); });
}

void BenchDaemon::AnnounceLoads() {
  InFlightCounts counts;
  for (const auto& upstream : pool_.upstreams) {
    const std::uint32_t count = tracker_.StateOf(upstream.name).in_flight;
    counts.push_back(
        {DigestOf(upstream.name), static_cast<std::uint16_t>(count)});
  }
  for (BenchDaemon* peer : peers_) {
    time_.Schedule(kLinkDelay, [peer, counts, this] {
      if (!peer->alive_) return;
      peer->peer_loads_.Record(name_, counts, time_.Now());
    });
  }
  peer_loads_.Expire(time_.Now());
  ScheduleWhileAlive(kAnnounceInterval, [this] { AnnounceLoads(); });
}

void BenchDaemon::PollLoadReports() {
  for (const auto& [name, upstream] : upstreams_) {
    ScheduleWhileAlive(kReportLag,
                       [this, name = name, load = upstream->in_flight()] {
                         tracker_.RecordLoadReport(name, load);
                       });
  }
  ScheduleWhileAlive(kReportInterval, [this] { PollLoadReports(); });
}

void BenchDaemon::Offer(const BenchJobPtr& job) {
  jobs_[job->number] = job;
  budget_.RecordRequest();
  if (!policy_.admission) return Dispatch(job);
  std::uniform_real_distribution<double> error(1.0 - kEstimateError,
                                               1.0 + kEstimateError);
  QueuedRequest request;
  request.ticket = job->number;
  request.workspace = WorkspaceName(std::to_string(job->workspace));
  request.weight = job->weight;
  request.cost = job->tokens * error(random_) / kTypicalTokens;
  request.latest_start = time_.Now() + kDeadline;
  HandleEvent(RequestOffered{request, job->size});
}

void BenchDaemon::HandleEvent(const AdmissionEvent& event) {
  if (!policy_.admission) return;
  for (const auto& action : admission_.Handle(event, time_.Now())) {
    std::visit([this](const auto& known) { Execute(known); }, action);
  }
}

void BenchDaemon::Execute(const AdmitRequest& action) {
  Dispatch(jobs_.at(action.ticket));
}

void BenchDaemon::Execute(const RefuseRequest& action) {
  jobs_.at(action.ticket)->refused = time_.Now();
  jobs_.erase(action.ticket);
}

void BenchDaemon::Execute(const SuspendRequest& action) {
  const TicketNumber ticket = action.ticket;
  ScheduleWhileAlive(kLinkDelay, [this, ticket] {
    const auto assignment = assignments_.find(ticket);
    if (assignment == assignments_.end()) return;
    upstreams_.at(assignment->second)->Cancel(ticket);
    tracker_.RecordEnd(assignment->second);
    assignments_.erase(assignment);
    ScheduleWhileAlive(kSuspendTime, [this, ticket] {
      HandleEvent(RequestSuspended{ticket});
    });
  });
}

void BenchDaemon::Execute(const ResumeRequest& action) {
  Dispatch(jobs_.at(action.ticket));
}

void BenchDaemon::Dispatch(const BenchJobPtr& job) {
  const auto usable = tracker_.ListUsable(pool_, job->excluded, time_.Now());
  const auto candidates =
      BuildCandidates(usable, tracker_, peer_loads_, time_.Now());
  const auto daemons = static_cast<std::uint32_t>(peer_loads_.CountPeers() + 1);
  const auto choice = ChooseUpstream(
      routing_, candidates,
      {.daemons = daemons, .keep_to_share = job->size == WorkSize::kLong},
      random_);
  if (!choice || job->attempts >= kMaxAttempts) {
    job->lost = true;
    return Finish(job);
  }
  Send(job, candidates[*choice].upstream->name);
}

void BenchDaemon::Send(const BenchJobPtr& job, const UpstreamName& name) {
  tracker_.RecordStart(name);
  assignments_[job->number] = name;
  ++sends_;
  const TimePoint sent = time_.Now();
  if (!job->sent) job->sent = sent;
  ScheduleWhileAlive(kLinkDelay, [this, job, name, sent] {
    if (!assignments_.contains(job->number)) return;
    upstreams_.at(name)->Run(
        job,
        [this, job, sent] {
          ScheduleWhileAlive(kLinkDelay,
                             [this, job, sent] { HandleBegin(job, sent); });
        },
        [this, job, name, sent] {
          ScheduleWhileAlive(kLinkDelay, [this, job, name, sent] {
            HandleEnd(job, name, sent);
          });
        },
        [this, job, name] {
          ScheduleWhileAlive(kLinkDelay,
                             [this, job, name] { HandleBreak(job, name); });
        });
  });
}

void BenchDaemon::HandleBegin(const BenchJobPtr& job, TimePoint sent) {
  if (!job->first_token) job->first_token = time_.Now();
  HandleEvent(AnswerBegun{job->number, time_.Now() - sent});
}

void BenchDaemon::HandleEnd(const BenchJobPtr& job, const UpstreamName& name,
                            TimePoint sent) {
  if (assignments_.erase(job->number) == 0) return;
  const Duration latency = time_.Now() - sent;
  tracker_.RecordSuccess(name, latency / std::max(1U, job->tokens),
                         time_.Now());
  job->end = time_.Now();
  Finish(job);
}

void BenchDaemon::HandleBreak(const BenchJobPtr& job,
                              const UpstreamName& name) {
  if (assignments_.erase(job->number) == 0) return;
  tracker_.RecordFailure(name, time_.Now());
  job->excluded.insert(name);
  if (job->first_token) ++job->attempts;
  const RetryDecision decision =
      budget_.TakeRetry({.idempotent = true, .may_have_run = true});
  if (decision == RetryDecision::kAllowed) return Dispatch(job);
  job->lost = true;
  Finish(job);
}

void BenchDaemon::Finish(const BenchJobPtr& job) {
  jobs_.erase(job->number);
  HandleEvent(RequestEnded{job->number});
}

void BenchDaemon::Kill() {
  alive_ = false;
  for (const auto& [ticket, name] : assignments_) {
    upstreams_.at(name)->Cancel(ticket);
  }
  for (const auto& [ticket, job] : jobs_) job->lost = true;
}

}  // namespace wisteriayoke
