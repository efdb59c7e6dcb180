#include "supervisor/relay/relay_front_end.h"

#include <algorithm>
#include <set>
#include <utility>

#include "platform/fleet_codec.h"
#include "supervisor/context/server_limits.h"
#include "supervisor/context/suspect_guard.h"
#include "supervisor/relay/relay_refusal.h"

namespace wisteriayoke {
namespace {

/// How often the progress of the sessions is looked at: a fraction of the
/// silence that is taken for trouble.
constexpr Duration kWatchInterval = std::chrono::milliseconds(10);
/// How often upstreams in trouble and the members are looked at; nothing waits
/// for it, and it goes over all upstreams.
constexpr Duration kFollowInterval = std::chrono::milliseconds(50);
/// Least time between two questions to one upstream that holds up a stream: the
/// lag of what it reports.
constexpr Duration kDoubtInterval = std::chrono::milliseconds(200);
/// Time between two questions to an upstream that was found slow or ejected.
constexpr Duration kTroubleInterval = std::chrono::seconds(1);
/// How long an upstream may take to answer a question; it needs no slot.
constexpr Duration kReportTimeout = std::chrono::milliseconds(200);
/// How long a question may stay open before the upstream gets no new work and
/// streams that it may hold up go on elsewhere: many times what an answer
/// takes, and so much less than a pause that callers notice that little is lost
/// by it.
constexpr Duration kQuietTime = std::chrono::milliseconds(60);
/// Questions in a row without an answer after which an upstream is suspected;
/// a single one may be the loss of a packet.
constexpr unsigned kMostUnanswered = 2;
/// Pace from which an upstream is taken for slow.
constexpr double kSlowPace = 1.2;
/// How long new connections are served after a stop began: the balancer takes
/// two questions, a second apart, to notice it.
constexpr Duration kLingerTime = std::chrono::milliseconds(3000);
/// Part of the slack that is used, so that the members' shares add up to less
/// while they differ about who is a member.
constexpr double kSlackShare = 0.8;

/// Returns the number of daemons that the settings name, this one included.
double CountListedDaemons(const Settings& settings) {
  const auto seeds = settings.EndpointsOf(SettingKey::kPeerSeeds);
  std::set<Endpoint> daemons(seeds.begin(), seeds.end());
  daemons.insert(settings.EndpointOf(SettingKey::kPeersAddress));
  return static_cast<double>(daemons.size());
}

}  // namespace

RelayFrontEnd::RelayFrontEnd(DaemonContext context,
                             const FailureHandler& /*on_failure*/)
    : context_(context) {}

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
  rumours_ = FollowSuspects(context_);
  RelayState& relay = context_.state.relay;
  relay.most_daemons =
      std::max(relay.most_daemons, CountListedDaemons(context_.settings));
  ShareBudgets();
  WatchSessions();
  WatchOthers();
  return true;
}

void RelayFrontEnd::Stop(std::function<void()> done) {
  server_->CloseAfterAnswers();
  // A front end that is replaced leaves its address at once.
  if (!context_.state.draining) {
    server_->StopAccepting();
    return server_->Drain(std::move(done));
  }
  stop_timer_ = context_.loop.Schedule(
      kLingerTime, [self = shared_from_this(), done = std::move(done)] {
        self->refusing_ = true;
        self->server_->StopAccepting();
        self->server_->Drain(done);
      });
}

void RelayFrontEnd::TerminateSessions() { server_->TerminateSessions(); }

void RelayFrontEnd::Handle(HttpRequest request, const CallerPtr& caller) {
  ++context_.state.requests_started;
  RelayedRequest relayed;
  relayed.fields = ReadCallerFields(request);
  relayed.caller = caller;
  const ResultCode code = FindPlace(request, relayed);
  if (code != ResultCode::kOk) return Refuse(relayed.fields, caller, code);
  relayed.request = std::move(request);
  const auto session = std::make_shared<RelaySession>(
      context_, std::move(relayed),
      [weak = weak_from_this()](const std::vector<UpstreamName>& doubted) {
        const auto self = weak.lock();
        if (!self) return;
        for (const auto& name : doubted) self->Doubt(name);
      });
  sessions_.push_back(session);
  session->Start();
}

/// Fills in what the tables say of `request`; returns why it can't be relayed.
ResultCode RelayFrontEnd::FindPlace(const HttpRequest& request,
                                    RelayedRequest& relayed) {
  const RelayState& relay = context_.state.relay;
  if (refusing_) return ResultCode::kDraining;
  if (!relay.tables || !relay.fleet_known) return ResultCode::kNotReady;
  const BootTime now = context_.loop.BootNow();
  // A daemon whose tables may be old doesn't deny what newer ones may allow.
  const bool sure = relay.freshness.HasMargin(now);
  const RelayRoute* route =
      relay.tables->FindRoute(relayed.fields.host, PathOf(request.target));
  if (route == nullptr) {
    return sure ? ResultCode::kUnknownRoute : ResultCode::kNotReady;
  }
  if (request.body.size() > relay.tables->spec().max_body_bytes) {
    return ResultCode::kBodyTooLarge;
  }
  relayed.tables = relay.tables;
  relayed.route = *route;
  relayed.pool = ChoosePool(*route, context_.state.random());
  if (route->anonymous || relay.tables->spec().workspaces.empty()) {
    return ResultCode::kOk;
  }
  if (!relay.freshness.AllowsKeys(now)) return ResultCode::kNotReady;
  const KeyedWorkspace* workspace =
      relay.tables->FindWorkspaceOfKey(relayed.fields.key);
  if (workspace == nullptr) {
    return sure ? ResultCode::kUnknownKey : ResultCode::kNotReady;
  }
  relayed.workspace = workspace->name;
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

void RelayFrontEnd::WatchSessions() {
  watch_timer_ =
      context_.loop.Schedule(kWatchInterval, [this] { WatchSessions(); });
  std::erase_if(sessions_, [](const auto& weak) {
    const auto session = weak.lock();
    return !session || session->ended();
  });
  for (const auto& weak : std::vector(sessions_)) {
    if (const auto session = weak.lock()) session->CheckProgress();
  }
}

void RelayFrontEnd::WatchOthers() {
  follow_timer_ =
      context_.loop.Schedule(kFollowInterval, [this] { WatchOthers(); });
  FollowTroubled();
  FollowMembers();
}

/// Shares the budgets out anew if more daemons are known than ever before; one
/// that is only cut off from this daemon may still spend its share.
void RelayFrontEnd::FollowMembers() {
  DaemonState& state = context_.state;
  const auto daemons = static_cast<double>(1 + state.peer_loads.CountPeers());
  if (daemons <= state.relay.most_daemons) return;
  state.relay.most_daemons = daemons;
  ShareBudgets();
}

/// Gives each pool's budget this daemon's share of the slack.
void RelayFrontEnd::ShareBudgets() {
  const Settings& settings = context_.settings;
  RelayState& relay = context_.state.relay;
  const double slack = settings.Decimal(SettingKey::kRetrySlack);
  relay.retry_limits = {
      .share = settings.Decimal(SettingKey::kRetryRatio),
      .max_balance = kSlackShare * slack / relay.most_daemons};
  for (auto& [pool, budget] : relay.budgets) {
    budget.set_limits(relay.retry_limits);
  }
}

/// Asks the upstreams whose ejection is over whether they are back, and those
/// that are slow whether they still are.
void RelayFrontEnd::FollowTroubled() {
  const TimePoint now = context_.loop.Now();
  const UpstreamTracker& tracker = context_.state.upstreams;
  std::vector<UpstreamName> troubled;
  for (const auto& [name, state] : tracker.states()) {
    const bool ejection_over =
        state.ejected_until && now >= *state.ejected_until;
    if (ejection_over || tracker.SlowdownOf(name, now) >= kSlowPace) {
      troubled.push_back(name);
    }
  }
  for (const auto& name : troubled) {
    const FleetEntry* entry = context_.state.relay.fleet.Find(name);
    if (entry == nullptr || entry->upstream.layers == LayerRange{}) continue;
    Ask(name, kTroubleInterval);
  }
}

/// Asks an upstream that may hold up a stream, or, if it hasn't answered for a
/// while, lets the stream go on elsewhere.
void RelayFrontEnd::Doubt(const UpstreamName& upstream) {
  Ask(upstream, kDoubtInterval);
  const Question& question = questions_[upstream];
  const Duration open = context_.loop.Now() - question.asked_at;
  if (question.pending && open >= kQuietTime) TellQuiet(upstream);
}

/// Asks `upstream` for its report unless it was asked less than `interval` ago.
void RelayFrontEnd::Ask(const UpstreamName& upstream, Duration interval) {
  const TimePoint now = context_.loop.Now();
  const auto [found, first] = questions_.try_emplace(upstream);
  Question& question = found->second;
  if (question.pending) return;
  if (!first && now - question.asked_at < interval) return;
  question.asked_at = now;
  SendQuestion(upstream);
}

void RelayFrontEnd::SendQuestion(const UpstreamName& upstream) {
  const FleetEntry* entry = context_.state.relay.fleet.Find(upstream);
  if (entry == nullptr) return Suspect(upstream, "its entry is gone");
  questions_[upstream].pending = true;
  questions_[upstream].quiet_timer = context_.loop.Schedule(
      kQuietTime, [this, upstream] { TellQuiet(upstream); });
  HttpCallLimits limits;
  limits.connect_timeout = kReportTimeout;
  limits.idle_timeout = kReportTimeout;
  FetchResponse(context_.loop, entry->upstream.endpoint, BuildReportRequest(),
                limits,
                [weak = weak_from_this(), upstream](const FetchResult& result) {
                  if (const auto self = weak.lock()) {
                    self->HandleReport(upstream, result);
                  }
                });
}

/// Takes in that `upstream` has left a question open for `kQuietTime`.
void RelayFrontEnd::TellQuiet(const UpstreamName& upstream) {
  RecordSuspect(upstream, "it left a question open");
  for (const auto& weak : std::vector(sessions_)) {
    if (const auto session = weak.lock()) session->HandleQuiet(upstream);
  }
}

void RelayFrontEnd::HandleReport(const UpstreamName& upstream,
                                 const FetchResult& result) {
  Question& question = questions_[upstream];
  question.pending = false;
  question.quiet_timer.reset();
  LastReason reason;
  const auto report = ParseReport(result.response.body, reason);
  if (result.code != ResultCode::kOk || !report) {
    return HandleNoReport(upstream, result.message);
  }
  question.unanswered = 0;
  UpstreamTracker& tracker = context_.state.upstreams;
  tracker.Restore(upstream);
  tracker.RecordSlowdown(upstream, report->slowdown, context_.loop.Now());
  const std::set<Endpoint> stalled(report->stalled_at.begin(),
                                   report->stalled_at.end());
  for (const auto& endpoint : stalled) {
    for (const auto& [name, entry] : context_.state.relay.fleet.entries()) {
      if (entry.upstream.endpoint != endpoint) continue;
      Suspect(UpstreamName(name), "reported by " + upstream.text());
      break;
    }
  }
}

void RelayFrontEnd::HandleNoReport(const UpstreamName& upstream,
                                   const std::string& why) {
  Question& question = questions_[upstream];
  if (++question.unanswered < kMostUnanswered) return SendQuestion(upstream);
  question.unanswered = 0;
  Suspect(upstream, why);
}

void RelayFrontEnd::RecordSuspect(const UpstreamName& upstream,
                                  const std::string& why) {
  DaemonState& state = context_.state;
  state.upstreams.Eject(upstream, context_.loop.Now());
  state.timeline.Record(LogLevel::kWarning, EventKind::kUpstreamSuspected,
                        ResultCode::kUpstreamFailed,
                        {{"upstream", upstream.text()}, {"reason", why}});
}

void RelayFrontEnd::Suspect(const UpstreamName& upstream,
                            const std::string& why) {
  RecordSuspect(upstream, why);
  for (const auto& weak : std::vector(sessions_)) {
    if (const auto session = weak.lock()) session->HandleSuspect(upstream);
  }
}

}  // namespace wisteriayoke
