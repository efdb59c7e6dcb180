#include "supervisor/relay/relay_session.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"
#include "supervisor/context/fleet_leaving.h"
#include "supervisor/relay/relay_refusal.h"
#include "wire/digest.h"

namespace wisteriayoke {
namespace {

/// Longest time to connect to an upstream; upstreams are a few milliseconds
/// away, and one that is down never answers.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Silence of a stream, as a multiple of its mean time between events, after
/// which it is treated as stalled and its stages are polled.
constexpr int kStallGapFactor = 3;
/// Bounds of that silence: the time that the prefill of another request adds to
/// a gap, and the longest pause that callers don't notice.
constexpr Duration kMinStallThreshold = std::chrono::milliseconds(70);
constexpr Duration kMaxStallThreshold = std::chrono::milliseconds(200);
/// Silence after which a stalled stream is moved although no stage is known to
/// be at fault; callers leave after two seconds.
constexpr Duration kStallTimeout = std::chrono::milliseconds(1100);
/// Time between two searches of a started stream for another path.
constexpr Duration kPathSearchInterval = std::chrono::milliseconds(30);
/// Part of the latency objective, in thousandths, for which a request waits for
/// a place; the rest is for its first event.
constexpr int kPlaceWaitPerMille = 300;
/// Longest return time given to a refused caller, and the part of its remaining
/// time, in thousandths, that it is at most.
constexpr Duration kMaxReturnTime = std::chrono::seconds(6);
constexpr int kReturnTimePerMille = 330;
/// Return time while no upstream holds some layers; about what it takes to load
/// them.
constexpr Duration kRepairTime = std::chrono::milliseconds(1200);
/// Part of the latency objective, in thousandths, after which an attempt of an
/// idempotent call is given up and another upstream is tried.
constexpr int kAttemptTimeoutPerMille = 600;
/// Most bytes of an answer that isn't a stream; it is held until it is whole.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusMultipleChoices = 300;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;
/// One in this many successful answers is logged.
constexpr std::uint64_t kLogEvery = 16;

bool IsGood(int status) {
  return status >= kStatusOk && status < kStatusMultipleChoices;
}

/// Returns a digest that requests of one workspace with the same content share.
std::string ComputeFingerprint(const RelayedRequest& relayed) {
  const HttpRequest& request = relayed.request;
  return ComputeDigest(request.method + "\n" + relayed.fields.host + "\n" +
                       request.target + "\n" + relayed.workspace.text() + "\n" +
                       request.body);
}

/// Returns whether callers take `status` for a promise that nothing has run.
bool ImpliesNotRun(int status) {
  return status == kStatusRequestTimeout || status == kStatusMisdirected ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
}

}  // namespace

RelaySession::RelaySession(DaemonContext context, RelayedRequest request,
                           StallHandler on_stall)
    : context_(context),
      request_(std::move(request)),
      on_stall_(std::move(on_stall)),
      decider_({.repeatable = request_.route.repeatable(),
                .max_attempts = request_.route.max_attempts}),
      guard_(context, ComputeFingerprint(request_),
             RequestId(request_.fields.attempt_id)),
      arrived_(context.loop.Now()) {
  timeout_ = request_.route.timeout;
  if (request_.fields.deadline) {
    timeout_ = std::min(timeout_, *request_.fields.deadline);
  }
}

RetryBudget& RelaySession::Budget() {
  RelayState& relay = context_.state.relay;
  return relay.budgets.try_emplace(request_.pool, relay.retry_limits)
      .first->second;
}

Duration RelaySession::TimeLeft() const {
  return timeout_ - (context_.loop.Now() - arrived_);
}

void RelaySession::Start() {
  Budget().RecordRequest();
  const std::weak_ptr<RelaySession> weak = weak_from_this();
  request_.caller->set_on_closed([weak] {
    if (const auto self = weak.lock()) self->HandleCallerLeft();
  });
  request_.caller->set_on_terminate([weak] {
    if (const auto self = weak.lock()) self->Feed(StopDeadlinePassed{});
  });
  request_.caller->set_on_writable([weak] {
    const auto self = weak.lock();
    if (!self || !self->paused_) return;
    self->paused_ = false;
    self->last_progress_ = self->context_.loop.Now();
    if (self->call_) self->call_->Resume();
  });
  timeout_timer_ = context_.loop.Schedule(
      timeout_, [self = shared_from_this()] { self->Feed(TimeLimitPassed{}); });
  StartAttempt();
}

PlaceQueue& RelaySession::Places() {
  return context_.state.relay.places[request_.pool];
}

void RelaySession::StartAttempt() {
  if (TimeLeft() <= Duration::zero()) return Feed(TimeLimitPassed{});
  const DaemonState& state = context_.state;
  // Checked right before each send, since the instance may have been suspended
  // in between.
  if (!request_.workspace.empty() &&
      !state.relay.freshness.AllowsKeys(context_.loop.BootNow())) {
    return Feed(TargetUnavailable{ResultCode::kNotReady});
  }
  if (guard_.Blocks()) return Feed(TargetUnavailable{ResultCode::kQuarantined});
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  if (pool == nullptr) return Feed(TargetUnavailable{});
  const TimePoint now = context_.loop.Now();
  const bool queues = pool->model && !delivering_;
  if (queues && !Places().MaySearch(queued_, now)) {
    return HandleTargetUnavailable(ResultCode::kOverloaded);
  }
  searched_at_ = now;
  const TargetChoice choice = Choose(*pool);
  if (choice.target) {
    StopWaiting();
    Places().RecordStart(now);
    return Send(*choice.target);
  }
  // A request that avoids some upstreams says nothing about the others.
  const bool all_busy = choice.code == ResultCode::kOverloaded &&
                        failed_.empty() && stalled_.empty();
  if (all_busy) Places().RecordBusy(now);
  HandleTargetUnavailable(choice.code);
}

void RelaySession::HandleTargetUnavailable(ResultCode code) {
  waiting_ = MayWait(code);
  if (waiting_) return;
  StopWaiting();
  Feed(TargetUnavailable{code});
}

/// Returns whether the request waits for a path. A caller that has a part of
/// its answer loses more by the end of the stream than by a pause, and decides
/// itself how long it stays. Another request waits if it can still be answered
/// in time.
bool RelaySession::MayWait(ResultCode code) {
  const TimePoint now = context_.loop.Now();
  const RelayRoute& route = request_.route;
  if (delivering_) return true;
  const Duration limit = route.latency_objective * kPlaceWaitPerMille / 1000;
  if (code != ResultCode::kOverloaded || !is_stream()) return false;
  if (now - arrived_ >= limit) return false;
  queued_ = queued_ || Places().TryJoin(limit, now);
  return queued_;
}

void RelaySession::StopWaiting() {
  waiting_ = false;
  if (std::exchange(queued_, false)) Places().Leave();
}

/// Returns after what time a caller that is refused for `code` should return.
Duration RelaySession::ComputeReturnTime(ResultCode code) {
  const Duration least = ComputeRetryDelay(context_, request_.pool);
  const Duration most =
      std::min(kMaxReturnTime, TimeLeft() * kReturnTimePerMille / 1000);
  if (code == ResultCode::kNoUpstream) {
    return Places().ScheduleReturn(std::max(least, kRepairTime), most,
                                   context_.loop.Now());
  }
  if (code == ResultCode::kOverloaded || code == ResultCode::kUpstreamRefused) {
    return Places().ScheduleReturn(least, most, context_.loop.Now());
  }
  return least;
}

std::set<UpstreamName> RelaySession::ListAvoided() const {
  std::set<UpstreamName> all = failed_;
  all.insert(stalled_.begin(), stalled_.end());
  return all;
}

/// Chooses a target without the upstreams that failed the request and, if there
/// is such a target, without those that may have stalled it.
TargetChoice RelaySession::Choose(const RelayPool& pool) const {
  const double tokens = request_.fields.prompt_tokens;
  if (!stalled_.empty()) {
    TargetChoice choice = ChooseTarget(context_, pool, ListAvoided(), tokens);
    if (choice.target) return choice;
  }
  return ChooseTarget(context_, pool, failed_, tokens);
}

void RelaySession::Send(const RelayTarget& target) {
  target_ = target;
  head_ = {};
  status_.reset();
  event_stream_ = false;
  body_.clear();
  splitter_ = {};
  sent_at_ = last_progress_ = context_.loop.Now();
  stall_reported_at_.reset();
  ++attempts_;
  path_ = target.Describe();
  decider_.RecordSent();
  prefilling_ = true;
  for (const auto& name : target.ListUpstreams()) {
    context_.state.upstreams.RecordStart(name);
    context_.state.upstreams.RecordPrefillStart(name);
  }
  HttpCallLimits limits;
  limits.message.allow_close_delimited = true;
  limits.connect_timeout = std::min(kConnectTimeout, TimeLeft());
  limits.idle_timeout = TimeLeft();
  limits.reset_on_close = true;
  call_ = HttpClientCall::Start(context_.loop, target.endpoint,
                                BuildAttempt(target), limits,
                                [self = shared_from_this()](CallEvent event) {
                                  self->HandleCall(std::move(event));
                                });
}

HttpRequest RelaySession::BuildAttempt(const RelayTarget& target) const {
  AttemptFields fields{.upstream = target.upstream,
                       .workspace = request_.workspace,
                       .time_left = TimeLeft(),
                       .chain = target.chain};
  if (last_event_id_) fields.last_event_id = std::to_string(*last_event_id_);
  const HttpRequest& request = request_.request;
  return {.method = request.method,
          .target = request.target,
          .fields = BuildAttemptFields(request.fields, fields),
          .body = request.body,
          .keep_alive = request.keep_alive};
}

void RelaySession::HandleCall(CallEvent event) {
  if (ended_) return;
  std::visit(Overloaded{
                 [this](const CallHead& head) { HandleHead(head); },
                 [this](const CallBodyData& body) { HandleBodyData(body); },
                 [this](const CallEnd&) { HandleEnd(); },
                 [this](const CallFailure& failure) { HandleFailure(failure); },
             },
             event);
}

void RelaySession::HandleHead(const CallHead& event) {
  head_ = event.head;
  status_ = head_.status;
  const AnswerFields fields = ReadAnswerFields(head_);
  if (fields.leaving) {
    RecordLeaving(context_, target_->upstream, target_->started_ms);
  }
  RecordHoldOff(fields);
  if (fields.not_run) {
    const UpstreamName failed_upstream = FindFailedUpstream(fields);
    if (!target_->chain.empty() || head_.status == kStatusMisdirected) {
      context_.state.upstreams.RecordDecline(failed_upstream,
                                             context_.loop.Now());
    }
    return RejectAttempt(ResultCode::kUpstreamRefused, failed_upstream);
  }
  const bool genuine = fields.has_receipt && !fields.has_content_encoding &&
                       fields.attempt_id == request_.fields.attempt_id;
  if (!genuine) return LoseAttempt(ResultCode::kUpstreamFailed, false);
  event_stream_ = is_stream() && IsGood(head_.status);
}

/// Records that the upstream asked this daemon for no work. The stage that the
/// answer names as failed is spared as well.
void RelaySession::RecordHoldOff(const AnswerFields& fields) {
  if (!fields.hold_off && fields.unreadable_hold_off.empty()) return;
  const UpstreamName& upstream = target_->upstream;
  const UpstreamName stage = FindFailedUpstream(fields);
  const Duration asked = fields.hold_off.value_or(Duration::zero());
  const TimePoint now = context_.loop.Now();
  context_.state.upstreams.RecordHoldOff(upstream, asked, now);
  if (stage != upstream) {
    context_.state.upstreams.RecordHoldOff(stage, asked, now);
  }
  context_.state.timeline.Record(LogLevel::kInfo, EventKind::kUpstreamHeldOff,
                                 ResultCode::kOk,
                                 {{"upstream", upstream.text()},
                                  {"stage", stage.text()},
                                  {"request", request_.fields.attempt_id},
                                  {"asked_us", std::to_string(asked.count())},
                                  {"unreadable", fields.unreadable_hold_off}});
}

void RelaySession::HandleBodyData(const CallBodyData& body) {
  if (!event_stream_) {
    body_ += body.data;
    if (body_.size() > kMaxAnswerBytes) {
      LoseAttempt(ResultCode::kMalformedHttp, false);
    }
    return;
  }
  ForwardEvents(splitter_.Push(body.data));
  if (splitter_.overflowed() && target_) {
    LoseAttempt(ResultCode::kMalformedHttp, false);
  }
}

void RelaySession::ForwardEvents(std::vector<StreamEvent> events) {
  std::string text;
  for (auto& event : events) {
    // A resumed run may repeat events that the caller has.
    const bool known =
        event.id && last_event_id_ && *event.id <= *last_event_id_;
    if (known) continue;
    if (event.id) last_event_id_ = event.id;
    text += event.text;
  }
  if (events.empty()) return;
  EndPrefill();
  last_progress_ = context_.loop.Now();
  stall_reported_at_.reset();
  Forward(text);
}

void RelaySession::Forward(std::string_view data) {
  const TimePoint now = context_.loop.Now();
  const TimePoint before = std::exchange(delivered_at_, now);
  if (delivering_) {
    longest_gap_ = std::max(longest_gap_, now - before);
    gap_sum_ += now - before;
    ++gap_count_;
    context_.state.metrics.Observe(LatencyKind::kTimeBetweenTokens,
                                   now - before);
  } else {
    delivering_ = true;
    first_event_after_ = now - arrived_;
    decider_.RecordDelivery();
    context_.state.metrics.Observe(LatencyKind::kTimeToFirstToken,
                                   *first_event_after_);
    request_.caller->StartStream(
        {head_.status, BuildForwardedFields(head_.fields)});
  }
  request_.caller->WriteChunk(data);
  PauseIfCallerIsSlow();
}

void RelaySession::PauseIfCallerIsSlow() {
  if (ended_ || paused_ || !request_.caller->ShouldPause()) return;
  paused_ = true;
  if (call_) call_->Pause();
}

void RelaySession::HandleEnd() {
  if (event_stream_) return FinishStream();
  FinishResponse();
}

void RelaySession::FinishStream() {
  EndAttempt(UpstreamFeedback::kGood);
  const std::string rest = splitter_.rest();
  if (!delivering_ || !rest.empty()) Forward(rest);
  if (ended_) return;
  request_.caller->EndStream();
  End(ResultCode::kOk);
}

void RelaySession::FinishResponse() {
  if (ImpliesNotRun(head_.status)) {
    // The upstream didn't confirm that nothing ran, so this status must not
    // reach the caller.
    return LoseAttempt(ResultCode::kUpstreamFailed, false);
  }
  if (head_.status >= kStatusServerError) {
    failed_.insert(target_->upstream);
    EndAttempt(UpstreamFeedback::kPoor);
    return Feed(AttemptFailed{});
  }
  EndAttempt(UpstreamFeedback::kGood);
  Execute(ForwardAnswer{});
}

void RelaySession::HandleFailure(const CallFailure& failure) {
  const UpstreamName upstream = target_->upstream;
  if (!failure.sent) {
    context_.state.upstreams.Eject(upstream, context_.loop.Now());
    return RejectAttempt(failure.code, upstream);
  }
  const bool on_chain = !target_->chain.empty();
  guard_.HandleAttemptFailure(
      upstream, failure.code,
      static_cast<TokenIndex>(last_event_id_.value_or(0)));
  LoseAttempt(failure.code, false);
  if (on_chain) on_stall_({upstream});
}

void RelaySession::CheckProgress() {
  if (ended_) return;
  if (waiting_) {
    const bool may_search =
        !delivering_ ||
        context_.loop.Now() - searched_at_ >= kPathSearchInterval;
    if (may_search) StartAttempt();
    return;
  }
  if (!target_ || paused_) return;
  const Duration silence = context_.loop.Now() - last_progress_;
  if (!is_stream()) {
    const bool may_retry =
        request_.route.repeatable() && attempts_ < request_.route.max_attempts;
    const Duration attempt_timeout =
        request_.route.latency_objective * kAttemptTimeoutPerMille / 1000;
    if (!may_retry || silence < attempt_timeout) return;
    return LoseAttempt(ResultCode::kTimedOut, false);
  }
  if (!request_.route.repeatable()) return;
  if (silence >= kStallTimeout) return TryReroute();
  const TimePoint since = stall_reported_at_.value_or(last_progress_);
  const Duration threshold =
      stall_reported_at_ ? kMaxStallThreshold : StallThreshold();
  if (context_.loop.Now() - since < threshold) return;
  stall_reported_at_ = context_.loop.Now();
  on_stall_(target_->ListUpstreams());
}

/// Returns the silence after which the stream is treated as stalled.
Duration RelaySession::StallThreshold() const {
  if (gap_count_ == 0) return kMaxStallThreshold;
  return std::clamp(kStallGapFactor * gap_sum_ / gap_count_, kMinStallThreshold,
                    kMaxStallThreshold);
}

/// Moves the stream to a path without any of the present stages, if there is
/// one. If not, keeps the attempt, since another would only wait behind it.
void RelaySession::TryReroute() {
  const std::set<UpstreamName> before = stalled_;
  for (const auto& name : target_->ListUpstreams()) stalled_.insert(name);
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  if (pool != nullptr &&
      ChooseTarget(context_, *pool, ListAvoided(), 0).target) {
    return LoseAttempt(ResultCode::kTimedOut, false);
  }
  stalled_ = before;
}

bool RelaySession::RunsOn(const UpstreamName& upstream) const {
  if (ended_ || !target_ || target_->chain.empty()) return false;
  const auto names = target_->ListUpstreams();
  return std::find(names.begin(), names.end(), upstream) != names.end();
}

void RelaySession::HandleUnresponsive(const UpstreamName& upstream) {
  if (!stall_reported_at_ || !RunsOn(upstream)) return;
  stalled_.insert(upstream);
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  const bool has_other_path =
      pool != nullptr &&
      ChooseTarget(context_, *pool, ListAvoided(), 0).target.has_value();
  if (has_other_path) LoseAttempt(ResultCode::kTimedOut, false);
}

void RelaySession::HandleUpstreamDown(const UpstreamName& upstream) {
  if (!RunsOn(upstream)) return;
  failed_.insert(upstream);
  LoseAttempt(ResultCode::kUpstreamFailed, upstream == target_->upstream);
}

void RelaySession::LoseAttempt(ResultCode code, bool upstream_dead) {
  if (target_->chain.empty()) failed_.insert(target_->upstream);
  EndAttempt(UpstreamFeedback::kPoor);
  Feed(AttemptLost{code, upstream_dead});
}

/// Returns the stage that the answer names as failed, or the upstream that
/// answered if it names none.
UpstreamName RelaySession::FindFailedUpstream(
    const AnswerFields& fields) const {
  for (const auto& stage : target_->chain) {
    if (fields.failed_upstream == stage.endpoint) return stage.upstream;
  }
  return target_->upstream;
}

void RelaySession::RejectAttempt(ResultCode code,
                                 const UpstreamName& failed_upstream) {
  failed_.insert(failed_upstream);
  EndAttempt(UpstreamFeedback::kNone);
  Feed(AttemptRejected{code});
}

void RelaySession::EndAttempt(UpstreamFeedback feedback) {
  if (!target_) return;
  EndPrefill();
  for (const auto& name : target_->ListUpstreams()) Release(name, feedback);
  target_.reset();
  if (call_) call_->Cancel();
  call_.reset();
}

void RelaySession::EndPrefill() {
  if (!std::exchange(prefilling_, false)) return;
  for (const auto& name : target_->ListUpstreams()) {
    context_.state.upstreams.RecordPrefillEnd(name);
  }
}

void RelaySession::Release(const UpstreamName& upstream,
                           UpstreamFeedback feedback) {
  UpstreamTracker& tracker = context_.state.upstreams;
  const TimePoint now = context_.loop.Now();
  switch (feedback) {
    case UpstreamFeedback::kGood:
      return tracker.RecordSuccess(upstream, now - sent_at_, now);
    case UpstreamFeedback::kPoor:
      // Not the time taken: an upstream that fails fast must not look fast.
      return tracker.RecordPoorAnswer(upstream, request_.route.timeout);
    case UpstreamFeedback::kNone:
      return tracker.RecordEnd(upstream);
  }
}

void RelaySession::Feed(const RelayRequestEvent& event) {
  if (ended_) return;
  end_code_ = CodeOf(event);
  const RelayRequestAction action = decider_.Handle(event, Budget());
  std::visit([this](const auto& step) { Execute(step); }, action);
}

void RelaySession::Execute(const RetryElsewhere& /*action*/) {
  const auto kind =
      delivering_ ? EventKind::kStreamResumed : EventKind::kRequestRetried;
  Record(LogLevel::kInfo, kind, end_code_);
  StartAttempt();
}

void RelaySession::Execute(const ForwardAnswer& /*action*/) {
  request_.caller->Respond(
      {{head_.status, BuildForwardedFields(head_.fields)}, std::move(body_)});
  End(IsGood(head_.status) ? ResultCode::kOk : ResultCode::kUpstreamFailed);
}

void RelaySession::Execute(const RefuseNotRun& action) {
  RespondWithError(action.code, ComputeReturnTime(action.code));
}

void RelaySession::Execute(const FailOutcomeUnknown& action) {
  RespondWithError(action.code, Duration::zero());
}

void RelaySession::Execute(const AbortAnswer& action) {
  EndAttempt(UpstreamFeedback::kNone);
  request_.caller->BreakStream();
  End(action.code);
}

void RelaySession::RespondWithError(ResultCode code, Duration retry_after) {
  EndAttempt(UpstreamFeedback::kNone);
  request_.caller->Respond(
      BuildRefusal(request_.fields.attempt_id, code, retry_after));
  End(code);
}

void RelaySession::HandleCallerLeft() {
  if (ended_) return;
  EndAttempt(UpstreamFeedback::kNone);
  End(ResultCode::kCancelled);
}

void RelaySession::End(ResultCode code) {
  if (ended_) return;
  ended_ = true;
  StopWaiting();
  timeout_timer_.reset();
  DaemonState& state = context_.state;
  state.metrics.CountAnswer(code);
  state.relay.metrics.CountAnswer(request_.route.name, request_.pool, code);
  state.metrics.Observe(LatencyKind::kRequestTime,
                        context_.loop.Now() - arrived_);
  const bool good = code == ResultCode::kOk || code == ResultCode::kCancelled;
  if (!good) return Record(LogLevel::kWarning, EventKind::kRequestFailed, code);
  if (code == ResultCode::kOk) guard_.HandleAnswered();
  if (IsLate()) {
    return Record(LogLevel::kWarning, EventKind::kRequestLate, code);
  }
  if (state.requests_started % kLogEvery != 0) return;
  Record(LogLevel::kInfo, EventKind::kRequestAnswered, code);
}

bool RelaySession::IsLate() const {
  return longest_gap_ > request_.route.max_event_gap ||
         first_event_after_.value_or(Duration::zero()) >
             request_.route.latency_objective;
}

void RelaySession::Record(LogLevel level, EventKind kind,
                          ResultCode code) const {
  const Duration age = context_.loop.Now() - arrived_;
  context_.state.timeline.Record(
      level, kind, code,
      {{"request", request_.fields.attempt_id},
       {"route", request_.route.name.text()},
       {"pool", request_.pool.text()},
       {"attempts", std::to_string(attempts_)},
       {"age_us", std::to_string(age.count())},
       {"first_event_us",
        first_event_after_ ? std::to_string(first_event_after_->count()) : ""},
       {"longest_pause_us", std::to_string(longest_gap_.count())},
       {"last_event", last_event_id_ ? std::to_string(*last_event_id_) : ""},
       {"path", path_},
       {"status", status_ ? std::to_string(*status_) : ""},
       {"tables", std::to_string(request_.tables->spec().version)}});
}

}  // namespace wisteriayoke
