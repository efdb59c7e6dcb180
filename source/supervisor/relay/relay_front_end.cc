#include "supervisor/relay/relay_front_end.h"

#include <algorithm>
#include <set>
#include <utility>

#include "platform/fleet_codec.h"
#include "platform/relay_fields.h"
#include "supervisor/context/fleet_leaving.h"
#include "supervisor/context/server_limits.h"
#include "supervisor/context/suspect_guard.h"
#include "supervisor/relay/passed_session.h"
#include "supervisor/relay/place_turns.h"
#include "supervisor/relay/relay_refusal.h"
#include "supervisor/relay/segment_guard.h"
#include "wire/passed_request.h"

namespace wisteriayoke {
namespace {

/// Time between checks of the sessions' progress: a fraction of the silence
/// after which a stream is treated as stalled.
constexpr Duration kProgressCheckInterval = std::chrono::milliseconds(10);
/// Time between checks of degraded upstreams and of the member count. Nothing
/// waits for them, and each goes over all upstreams.
constexpr Duration kUpstreamCheckInterval = std::chrono::milliseconds(50);
/// Minimum time between two polls of an upstream that may stall a stream: the
/// lag of its reports.
constexpr Duration kStallPollInterval = std::chrono::milliseconds(200);
/// Time between two polls of an upstream that is slow or was ejected.
constexpr Duration kDegradedPollInterval = std::chrono::seconds(1);
/// Timeout of a poll; an upstream needs no slot to answer it.
constexpr Duration kReportTimeout = std::chrono::milliseconds(200);
/// Most bytes of a report; it lists the requests that the upstream stalls.
constexpr std::uint64_t kMaxReportBytes = 256 * 1024;
/// Time without an answer to a poll after which the upstream gets no new work
/// and streams that it may stall go on elsewhere. It is many times what an
/// answer takes, but much shorter than a pause that callers notice, so a wrong
/// guess costs little.
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(60);
/// Polls without an answer, in a row, after which an upstream is treated as
/// failed; a single one may be the loss of a packet.
constexpr unsigned kMaxUnanswered = 2;
constexpr auto kNoAnswer = "no answer to a report poll";
/// Slowdown from which an upstream is treated as slow.
constexpr double kSlowThreshold = 1.2;
/// Time for which new connections are served after a stop began: the balancer
/// needs two checks, a second apart, to notice it.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(3000);
/// Part of the retry slack that is used, so that the members' shares don't
/// exceed it while their views of the membership differ.
constexpr double kSlackShare = 0.8;

/// Returns the number of daemons listed in the settings, including this one.
double CountListedDaemons(const Settings& settings) {
  const auto seeds = settings.EndpointsOf(SettingKey::kPeerSeeds);
  std::set<Endpoint> daemons(seeds.begin(), seeds.end());
  daemons.insert(settings.EndpointOf(SettingKey::kPeersAddress));
  return static_cast<double>(daemons.size());
}

}  // namespace

RelayFrontEnd::RelayFrontEnd(DaemonContext context,
                             const FailureHandler& /*on_failure*/)
    : context_(context), reach_monitor_(context) {}

bool RelayFrontEnd::Start(LastReason& reason) {
  server_ = HttpServer::Create(
      context_.loop, context_.settings.EndpointOf(SettingKey::kFrontAddress),
      ReadServerLimits(context_.settings),
      [weak = weak_from_this()](HttpRequest request, const CallerPtr& caller) {
        if (const auto self = weak.lock()) {
          return self->Handle(std::move(request), caller);
        }
        caller->Respond(BuildRefusal({}, ResultCode::kDraining, kRetryAfter));
      },
      [&metrics = context_.state.metrics](const LastReason& why) {
        metrics.CountAnswer(why.code());
        return BuildRefusal({}, why.code(), Duration::zero());
      },
      reason);
  if (!server_) return false;
  suspect_updates_ = FollowSuspects(context_);
  leaving_updates_ = FollowLeaving(context_);
  segment_updates_ = FollowSegments(context_);
  passed_requests_ = context_.state.relay.passed_requests.Subscribe(
      [weak = weak_from_this()](HttpRequest request, const CallerPtr& caller) {
        const auto self = weak.lock();
        if (self && !self->context_.state.draining) {
          return self->Handle(std::move(request), caller);
        }
        caller->Respond({{kStatusPassedInVain, {}}, ""});
      });
  RelayState& relay = context_.state.relay;
  relay.max_members_seen =
      std::max(relay.max_members_seen, CountListedDaemons(context_.settings));
  ApplyRetryLimits();
  CheckSessions();
  CheckUpstreamsAndMembers();
  return true;
}

void RelayFrontEnd::Stop(std::function<void()> done) {
  server_->CloseAfterAnswers();
  // A front end that is replaced frees its address at once.
  if (!context_.state.draining) {
    server_->StopAccepting();
    return server_->Drain(std::move(done));
  }
  stop_timer_ = context_.loop.Schedule(
      kAcceptAfterStop, [self = shared_from_this(), done = std::move(done)] {
        self->refusing_ = true;
        self->server_->StopAccepting();
        self->server_->Drain(done);
      });
}

void RelayFrontEnd::TerminateSessions() { server_->TerminateSessions(); }

void RelayFrontEnd::Handle(HttpRequest request, const CallerPtr& caller) {
  ++context_.state.requests_started;
  if (context_.state.relay.reach.lost()) {
    return PassOn(std::move(request), caller);
  }
  RelayedRequest relayed;
  relayed.fields = ReadCallerFields(request);
  relayed.caller = caller;
  const ResultCode code = ResolveRequest(request, relayed);
  if (code != ResultCode::kOk) return Refuse(relayed.fields, caller, code);
  relayed.request = std::move(request);
  const auto session = std::make_shared<RelaySession>(
      context_, std::move(relayed),
      [weak = weak_from_this()](const std::vector<UpstreamName>& upstreams) {
        const auto self = weak.lock();
        return self ? self->HandleStall(upstreams)
                    : std::vector<UpstreamName>{};
      });
  sessions_.push_back(session);
  session->Start();
}

/// Passes a request on to a peer, as this daemon reaches no upstream. One that
/// a peer passed on is declined, so that the peer tries another.
void RelayFrontEnd::PassOn(HttpRequest request, const CallerPtr& caller) {
  if (IsPassedOn(request)) {
    return caller->Respond({{kStatusPassedInVain, {}}, ""});
  }
  // The caller's next connection leads to another daemon.
  caller->CloseAfterAnswer();
  std::make_shared<PassedSession>(context_, std::move(request), caller)
      ->Start();
}

/// Finds the route, pool and workspace of `request` in the tables. Returns the
/// reason why it can't be relayed, or kOk.
ResultCode RelayFrontEnd::ResolveRequest(const HttpRequest& request,
                                         RelayedRequest& relayed) {
  const RelayState& relay = context_.state.relay;
  if (refusing_) return ResultCode::kDraining;
  if (!relay.tables || !relay.fleet_known) return ResultCode::kNotReady;
  const BootTime now = context_.loop.BootNow();
  // Tables that may be stale may lack a new route or key, so a failed lookup is
  // then only temporary.
  const bool tables_fresh = relay.freshness.HasMargin(now);
  const RelayRoute* route =
      relay.tables->FindRoute(relayed.fields.host, PathOf(request.target));
  if (route == nullptr) {
    return tables_fresh ? ResultCode::kUnknownRoute : ResultCode::kNotReady;
  }
  if (request.body.size() > relay.tables->spec().max_body_bytes) {
    return ResultCode::kBodyTooLarge;
  }
  relayed.tables = relay.tables;
  relayed.route = *route;
  relayed.pool = ChoosePool(*route, context_.state.random());
  relayed.rank = relay.tables->FindRank(relayed.pool, *route, nullptr);
  const bool key_required = relay.tables->requires_keys() && !route->anonymous;
  // A key is checked where none is required as well: it may have been revoked.
  if (!key_required && relayed.fields.key.empty()) return ResultCode::kOk;
  relayed.needs_fresh_tables = true;
  if (!relay.freshness.AllowsKeys(now)) return ResultCode::kNotReady;
  if (!relay.tables->requires_keys()) return ResultCode::kOk;
  const KeyedWorkspace* workspace =
      relay.tables->FindWorkspaceOfKey(relayed.fields.key);
  if (workspace == nullptr) {
    return tables_fresh ? ResultCode::kUnknownKey : ResultCode::kNotReady;
  }
  relayed.workspace = workspace->name;
  relayed.rank = relay.tables->FindRank(relayed.pool, *route, workspace);
  return ResultCode::kOk;
}

void RelayFrontEnd::Refuse(const CallerFields& fields, const CallerPtr& caller,
                           ResultCode code) {
  DaemonState& state = context_.state;
  state.metrics.CountAnswer(code);
  state.relay.metrics.CountAnswer({}, {}, code);
  const auto age = state.relay.freshness.AgeAt(context_.loop.BootNow());
  state.timeline.Record(
      LogLevel::kWarning, EventKind::kRequestFailed, code,
      {{"request", fields.attempt_id},
       {"host", fields.host},
       {"tables", std::to_string(state.version.number)},
       {"tables_age_us", age ? std::to_string(age->count()) : "unknown"}});
  const bool temporary = DescribeResultCode(code).http_status ==
                         DescribeResultCode(ResultCode::kNotReady).http_status;
  caller->Respond(BuildRefusal(fields.attempt_id, code,
                               temporary ? kRetryAfter : Duration::zero()));
}

void RelayFrontEnd::CheckSessions() {
  const TimePoint now = context_.loop.Now();
  if (next_check_at_) {
    context_.state.metrics.Observe(LatencyKind::kLoopDelay,
                                   now - *next_check_at_);
  }
  next_check_at_ = now + kProgressCheckInterval;
  check_timer_ = context_.loop.Schedule(kProgressCheckInterval,
                                        [this] { CheckSessions(); });
  std::erase_if(sessions_, [](const auto& weak) {
    const auto session = weak.lock();
    return !session || session->ended();
  });
  for (const auto& weak : std::vector(sessions_)) {
    if (const auto session = weak.lock()) session->CheckProgress();
  }
  GivePlaces(context_, sessions_);
}

void RelayFrontEnd::CheckUpstreamsAndMembers() {
  poll_timer_ = context_.loop.Schedule(kUpstreamCheckInterval,
                                       [this] { CheckUpstreamsAndMembers(); });
  // Callers on open connections would stay with this daemon.
  if (reach_monitor_.Update()) server_->CloseIdleSessions();
  PollDegraded();
  UpdateMemberCount();
}

/// Divides the budgets again if more daemons are known than ever before. A
/// daemon that is only unreachable from here may still spend its share, so
/// shares never grow back.
void RelayFrontEnd::UpdateMemberCount() {
  DaemonState& state = context_.state;
  state.relay.segments.set_group_size(state.relay.group_size);
  const auto daemons = static_cast<double>(1 + state.peer_loads.CountPeers());
  if (daemons <= state.relay.max_members_seen) return;
  state.relay.max_members_seen = daemons;
  ApplyRetryLimits();
}

/// Limits each pool's budget to this daemon's share of the retry slack.
void RelayFrontEnd::ApplyRetryLimits() {
  const Settings& settings = context_.settings;
  RelayState& relay = context_.state.relay;
  const double slack = settings.Decimal(SettingKey::kRetrySlack);
  relay.retry_limits = {
      .share = settings.Decimal(SettingKey::kRetryRatio),
      .max_balance = kSlackShare * slack / relay.max_members_seen};
  for (auto& [pool, budget] : relay.budgets) {
    budget.set_limits(relay.retry_limits);
  }
}

/// Polls the upstreams whose ejection is over and those that are slow, to find
/// out whether they have recovered.
void RelayFrontEnd::PollDegraded() {
  const TimePoint now = context_.loop.Now();
  const UpstreamTracker& tracker = context_.state.upstreams;
  std::vector<UpstreamName> degraded;
  for (const auto& [name, state] : tracker.states()) {
    const bool ejection_over =
        state.ejected_until && now >= *state.ejected_until;
    if (ejection_over || tracker.SlowdownOf(name, now) >= kSlowThreshold) {
      degraded.push_back(name);
    }
  }
  for (const auto& name : degraded) {
    const FleetEntry* entry = context_.state.relay.fleet.Find(name);
    if (entry == nullptr || entry->upstream.layers == LayerRange{}) continue;
    if (tracker.HoldOffLeft(name, now) > Duration::zero()) continue;
    PollReport(name, kDegradedPollInterval);
  }
}

/// Polls upstreams that may stall a stream. Returns those whose poll has been
/// open for `kUnresponsiveAfter`; streams that had stalled before were notified
/// then.
std::vector<UpstreamName> RelayFrontEnd::HandleStall(
    const std::vector<UpstreamName>& upstreams) {
  std::vector<UpstreamName> unresponsive;
  for (const auto& name : upstreams) {
    PollReport(name, kStallPollInterval);
    const ReportPoll& poll = polls_[name];
    const Duration open = context_.loop.Now() - poll.sent_at;
    if (!poll.pending || open < kUnresponsiveAfter) continue;
    unresponsive.push_back(name);
  }
  return unresponsive;
}

/// Requests a report from `upstream`, unless a poll is open or the last one was
/// sent less than `interval` ago.
void RelayFrontEnd::PollReport(const UpstreamName& upstream,
                               Duration interval) {
  const TimePoint now = context_.loop.Now();
  const auto [found, first] = polls_.try_emplace(upstream);
  ReportPoll& poll = found->second;
  if (poll.pending) return;
  if (!first && now - poll.sent_at < interval) return;
  poll.sent_at = now;
  SendPoll(upstream);
}

void RelayFrontEnd::SendPoll(const UpstreamName& upstream) {
  const FleetEntry* entry = context_.state.relay.fleet.Find(upstream);
  // Upstreams that leave serve on for a while after their entry is removed.
  if (entry == nullptr) {
    return HandleUnresponsive(upstream, "no longer listed");
  }
  polls_[upstream].pending = true;
  polls_[upstream].unresponsive_timer = context_.loop.Schedule(
      kUnresponsiveAfter,
      [this, upstream] { HandleUnresponsive(upstream, kNoAnswer); });
  const HttpCallLimits limits{.message = {.body_bytes = kMaxReportBytes},
                              .connect_timeout = kReportTimeout,
                              .idle_timeout = kReportTimeout,
                              .total_timeout = kReportTimeout};
  FetchResponse(
      context_.loop, entry->upstream.endpoint, BuildReportRequest(), limits,
      [weak = weak_from_this(), upstream, started_ms = entry->started_ms,
       begun = context_.loop.Now()](const FetchResult& result) {
        const auto self = weak.lock();
        if (!self) return;
        RecordReach(self->context_, upstream, begun, result);
        if (ReadAnswerFields(result.response.head).leaving) {
          RecordLeaving(self->context_, upstream, started_ms);
        }
        self->HandleReport(upstream, result);
      });
}

/// Handles that it is unknown whether `upstream` works. Stalled streams go on
/// elsewhere if they can.
void RelayFrontEnd::HandleUnresponsive(const UpstreamName& upstream,
                                       const std::string& why) {
  EjectUpstream(upstream, why);
  NotifySessions(&RelaySession::HandleUnresponsive, upstream);
}

void RelayFrontEnd::HandleReport(const UpstreamName& upstream,
                                 const FetchResult& result) {
  ReportPoll& poll = polls_[upstream];
  poll.pending = false;
  poll.unresponsive_timer.reset();
  LastReason reason;
  const auto report = ParseReport(result.response.body, reason);
  if (result.code != ResultCode::kOk || !report) {
    return HandleReportFailure(upstream, result);
  }
  poll.unanswered = 0;
  UpstreamTracker& tracker = context_.state.upstreams;
  tracker.Restore(upstream);
  tracker.RecordSlowdown(upstream, report->slowdown, context_.loop.Now());
  const std::set<Endpoint> stalled(report->stalled_at.begin(),
                                   report->stalled_at.end());
  for (const auto& endpoint : stalled) {
    for (const auto& [name, entry] : context_.state.relay.fleet.entries()) {
      if (entry.upstream.endpoint != endpoint) continue;
      HandleStalls(UpstreamName(name),
                   "reported as stalled by " + upstream.text());
      break;
    }
  }
}

void RelayFrontEnd::HandleReportFailure(const UpstreamName& upstream,
                                        const FetchResult& result) {
  ReportPoll& poll = polls_[upstream];
  if (++poll.unanswered < kMaxUnanswered) return SendPoll(upstream);
  poll.unanswered = 0;
  // Only a refused connection proves that nothing runs there any more.
  if (result.code == ResultCode::kConnectFailed) {
    return HandleFailure(upstream, result.message);
  }
  HandleUnresponsive(upstream, result.message);
}

void RelayFrontEnd::NotifySessions(UpstreamHandler handler,
                                   const UpstreamName& upstream) {
  for (const auto& weak : std::vector(sessions_)) {
    if (const auto session = weak.lock()) ((*session).*handler)(upstream);
  }
}

void RelayFrontEnd::EjectUpstream(const UpstreamName& upstream,
                                  const std::string& why) {
  const bool was_in_use =
      context_.state.upstreams.Eject(upstream, context_.loop.Now());
  if (was_in_use) RecordSuspicion(upstream, why);
}

void RelayFrontEnd::RecordSuspicion(const UpstreamName& upstream,
                                    const std::string& why) {
  context_.state.timeline.Record(
      LogLevel::kWarning, EventKind::kUpstreamSuspected,
      ResultCode::kUpstreamFailed,
      {{"upstream", upstream.text()}, {"reason", why}});
}

void RelayFrontEnd::HandleStalls(const UpstreamName& upstream,
                                 const std::string& why) {
  EjectUpstream(upstream, why);
  NotifySessions(&RelaySession::HandleUpstreamStalls, upstream);
}

void RelayFrontEnd::HandleFailure(const UpstreamName& upstream,
                                  const std::string& why) {
  context_.state.upstreams.Eject(upstream, context_.loop.Now());
  // Its death is news even if it was suspected before.
  RecordSuspicion(upstream, why);
  NotifySessions(&RelaySession::HandleUpstreamDown, upstream);
}

}  // namespace wisteriayoke
