#include "supervisor/relay/relay_session.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"
#include "supervisor/relay/relay_refusal.h"
#include "supervisor/relay/return_time.h"

namespace wisteriayoke {
namespace {

/// Longest time to connect to an upstream; upstreams are a few milliseconds
/// away, and one that is down never answers.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// One in this many successful answers is logged.
constexpr std::uint64_t kLogEvery = 16;

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
      segment_guard_(context, request_),
      arrived_(context.loop.Now()),
      timeout_(request_.TimeLimit()),
      search_(context, request_, arrived_),
      times_(arrived_) {}

RetryBudget& RelaySession::Budget() const {
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
    self->RecordProgress();
    if (self->attempt_) self->attempt_->Resume();
  });
  timeout_timer_ = context_.loop.Schedule(
      TimeLeft(),
      [self = shared_from_this()] { self->Feed(TimeLimitPassed{}); });
  StartAttempt();
}

void RelaySession::StartAttempt() {
  if (TimeLeft() <= Duration::zero()) return Feed(TimeLimitPassed{});
  const DaemonState& state = context_.state;
  // Checked right before each send, since the instance may have been suspended
  // in between.
  if (!request_.workspace.empty() &&
      !state.relay.freshness.AllowsKeys(context_.loop.BootNow())) {
    return HandleTargetUnavailable(ResultCode::kNotReady);
  }
  // An answer that has begun shows that its segments crash no upstream.
  if (guard_.Blocks() || (!times_.begun() && segment_guard_.Blocks())) {
    return Feed(TargetUnavailable{ResultCode::kQuarantined});
  }
  if (!decider_.PayForRetry(Budget())) return;
  const TargetChoice choice = search_.Search(attempts_ == 0);
  if (!choice.target) return HandleTargetUnavailable(choice.code);
  waiting_ = false;
  Send(*choice.target);
}

void RelaySession::HandleTargetUnavailable(ResultCode code) {
  waiting_ = search_.MayWait(code, times_.begun());
  if (waiting_) return;
  StopWaiting();
  Feed(TargetUnavailable{code});
}

void RelaySession::StopWaiting() {
  waiting_ = false;
  search_.StopWaiting();
}

void RelaySession::Send(const RelayTarget& target) {
  attempt_.emplace(context_, target, request_);
  answer_.reset();
  stall_.RecordProgress(attempt_->sent_at());
  keep_recorded_ = false;
  ++attempts_;
  path_ = target.Describe();
  decider_.RecordSent();
  HttpCallLimits limits;
  limits.message.allow_close_delimited = true;
  limits.connect_timeout = std::min(kConnectTimeout, TimeLeft());
  limits.idle_timeout = TimeLeft();
  limits.reset_on_close = true;
  attempt_->set_call(HttpClientCall::Start(
      context_.loop, target.endpoint,
      BuildAttempt(request_, target, TimeLeft(), last_event_id_), limits,
      [self = shared_from_this()](CallEvent event) {
        self->HandleCall(std::move(event));
      }));
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
  answer_.emplace(event.head, request_.is_stream());
  if (!request_.is_stream()) RecordProgress();
  const AnswerFields fields = ReadAnswerFields(event.head);
  attempt_->RecordSigns(fields, request_.fields.attempt_id);
  if (fields.not_run) {
    const UpstreamName failed_upstream = attempt_->FindFailedUpstream(fields);
    if (attempt_->on_chain() || answer_->IsMisdirected()) {
      context_.state.upstreams.RecordDecline(failed_upstream,
                                             context_.loop.Now());
    }
    return RejectAttempt(ResultCode::kUpstreamRefused, failed_upstream);
  }
  const bool genuine = fields.has_receipt && !fields.has_content_encoding &&
                       fields.attempt_id == request_.fields.attempt_id;
  if (!genuine) LoseAttempt(ResultCode::kUpstreamFailed, false);
}

void RelaySession::HandleBodyData(const CallBodyData& body) {
  if (answer_->is_stream()) {
    ForwardEvents(body.data);
  } else {
    RecordProgress();
    answer_->PushBody(body.data);
  }
  if (attempt_ && answer_->overflowed()) {
    LoseAttempt(ResultCode::kMalformedHttp, false);
  }
}

void RelaySession::ForwardEvents(std::string_view data) {
  const auto text = answer_->PushEvents(data, last_event_id_);
  if (!text) return;
  const bool begun = attempt_->RecordEvents(answer_->TakeEventCount());
  if (begun) segment_guard_.HandleBegun();
  RecordProgress();
  Forward(*text);
}

void RelaySession::Forward(std::string_view data) {
  const bool first = !times_.begun();
  const Duration time = times_.RecordEvent(context_.loop.Now());
  context_.state.metrics.Observe(
      first ? LatencyKind::kTimeToFirstToken : LatencyKind::kTimeBetweenTokens,
      time);
  if (first) {
    decider_.RecordDelivery();
    const HttpResponseHead& head = answer_->head();
    request_.caller->StartStream(
        {head.status, BuildForwardedFields(head.fields)});
  }
  request_.caller->WriteChunk(data);
  PauseIfCallerIsSlow();
}

void RelaySession::PauseIfCallerIsSlow() {
  if (ended_ || paused_ || !request_.caller->ShouldPause()) return;
  paused_ = true;
  if (attempt_) attempt_->Pause();
}

void RelaySession::HandleEnd() {
  if (answer_->is_stream()) return FinishStream();
  FinishResponse();
}

void RelaySession::FinishStream() {
  if (answer_->IsTruncated()) {
    return HandleFailure({.code = ResultCode::kConnectionBroken,
                          .message = "the stream ended inside an event",
                          .sent = true});
  }
  EndAttempt(UpstreamFeedback::kGood);
  if (!times_.begun() || !answer_->rest().empty()) Forward(answer_->rest());
  request_.caller->EndStream();
  End(ResultCode::kOk);
}

void RelaySession::FinishResponse() {
  if (answer_->ImpliesNotRun()) {
    // The upstream didn't confirm that nothing ran, so this status must not
    // reach the caller.
    return LoseAttempt(ResultCode::kUpstreamFailed, false);
  }
  // Whatever it says, it can't continue a stream that the caller has a part of.
  if (answer_->IsServerError() || times_.begun()) {
    search_.Exclude(attempt_->target().upstream);
    EndAttempt(UpstreamFeedback::kPoor);
    return Feed(AttemptFailed{});
  }
  EndAttempt(UpstreamFeedback::kGood);
  Execute(ForwardAnswer{});
}

void RelaySession::HandleFailure(const CallFailure& failure) {
  const UpstreamName upstream = attempt_->target().upstream;
  if (!failure.sent) {
    context_.state.upstreams.Eject(upstream, context_.loop.Now());
    return RejectAttempt(failure.code, upstream);
  }
  const bool on_chain = attempt_->on_chain();
  if (failure.code == ResultCode::kConnectionBroken) RecordCrash(upstream);
  guard_.HandleAttemptFailure(
      upstream, failure.code,
      static_cast<TokenIndex>(last_event_id_.value_or(0)));
  LoseAttempt(failure.code, false);
  if (on_chain) on_stall_({upstream});
}

void RelaySession::CheckProgress() {
  if (ended_) return;
  if (waiting_) {
    if (search_.IsDue(times_.begun())) StartAttempt();
    return;
  }
  if (!attempt_ || paused_) return;
  if (!times_.begun() && segment_guard_.MustStop()) {
    return Feed(TargetUnavailable{ResultCode::kQuarantined});
  }
  if (request_.is_stream()) return CheckStream();
  if (stall_.SilenceAt(context_.loop.Now()) < request_.StallTimeout()) return;
  LeaveStalledAttempt(ResultCode::kTimedOut, {attempt_->target().upstream});
}

/// Moves a stream that is silent for long. One that is silent for a while has
/// its upstreams polled, and is moved away from those that don't answer.
void RelaySession::CheckStream() {
  if (!request_.route.repeatable()) return;
  const TimePoint now = context_.loop.Now();
  if (stall_.TakeReroute(now)) {
    LeaveStalledAttempt(ResultCode::kTimedOut,
                        attempt_->target().ListUpstreams());
  }
  if (!attempt_) return;
  if (!stall_.TakeReport(times_.StallThreshold(), now)) return;
  LeaveUnresponsive(on_stall_(attempt_->target().ListUpstreams()));
}

void RelaySession::RecordProgress() {
  stall_.RecordProgress(context_.loop.Now());
}

bool RelaySession::RunsOn(const UpstreamName& upstream) const {
  return !ended_ && attempt_ && attempt_->RunsOn(upstream);
}

void RelaySession::HandleUnresponsive(const UpstreamName& upstream) {
  if (stall_.reported()) LeaveUnresponsive({upstream});
}

void RelaySession::LeaveUnresponsive(
    const std::vector<UpstreamName>& upstreams) {
  bool concerned = false;
  for (const auto& name : upstreams) {
    if (!RunsOn(name)) continue;
    search_.Avoid(name);
    concerned = true;
  }
  if (concerned) LeaveStalledAttempt(ResultCode::kTimedOut, {});
}

void RelaySession::HandleUpstreamStalls(const UpstreamName& upstream) {
  if (!RunsOn(upstream)) return;
  search_.Avoid(upstream);
  // A started stream waits for a path, any other request would be refused.
  if (times_.begun()) return Feed(AttemptStalled{ResultCode::kUpstreamFailed});
  LeaveStalledAttempt(ResultCode::kUpstreamFailed, {});
}

void RelaySession::HandleUpstreamDown(const UpstreamName& upstream) {
  if (!RunsOn(upstream)) return;
  RecordCrash(upstream);
  search_.Exclude(upstream);
  LoseAttempt(ResultCode::kUpstreamFailed,
              upstream == attempt_->target().upstream);
}

/// Leaves the attempt for a target without the upstreams to avoid and `others`.
/// Keeps it if there is none, since another attempt would only wait behind it.
void RelaySession::LeaveStalledAttempt(
    ResultCode code, const std::vector<UpstreamName>& others) {
  // A search is expensive, and in vain where no attempt may follow.
  if (decider_.MayLeaveStalled(Budget())) {
    if (!search_.HasTargetWithout({others.begin(), others.end()})) return;
    for (const auto& name : others) search_.Avoid(name);
  }
  Feed(AttemptStalled{code});
}

void RelaySession::LoseAttempt(ResultCode code, bool upstream_dead) {
  if (!attempt_->on_chain()) search_.Exclude(attempt_->target().upstream);
  EndAttempt(UpstreamFeedback::kPoor);
  Feed(AttemptLost{code, upstream_dead});
}

/// Records the crash of a stage. A request whose answer has begun is no
/// suspect, so that few are among the many on one upstream.
void RelaySession::RecordCrash(const UpstreamName& upstream) {
  const UpstreamHealth health =
      context_.state.upstreams.HealthOf(upstream, context_.loop.Now());
  const bool suspect = attempt_->on_chain() && !times_.begun() &&
                       health != UpstreamHealth::kLeaving;
  if (suspect) segment_guard_.HandleCrash(upstream, attempt_->sent_at());
}

void RelaySession::RejectAttempt(ResultCode code,
                                 const UpstreamName& failed_upstream) {
  search_.HandleRejection(failed_upstream, times_.begun());
  EndAttempt(UpstreamFeedback::kNone);
  Feed(AttemptRejected{code});
}

void RelaySession::EndAttempt(UpstreamFeedback feedback) {
  if (!attempt_) return;
  attempt_->End(feedback, request_.route.timeout);
  attempt_.reset();
}

void RelaySession::Feed(const RelayRequestEvent& event) {
  if (ended_) return;
  end_code_ = CodeOf(event);
  const RelayRequestAction action = decider_.Handle(event, Budget());
  std::visit([this](const auto& step) { Execute(step); }, action);
}

void RelaySession::Execute(const RetryElsewhere& /*action*/) {
  const auto kind =
      times_.begun() ? EventKind::kStreamResumed : EventKind::kRequestRetried;
  Record(LogLevel::kInfo, kind, end_code_);
  EndAttempt(UpstreamFeedback::kPoor);
  StartAttempt();
}

void RelaySession::Execute(const KeepAttempt& /*action*/) {
  if (std::exchange(keep_recorded_, true)) return;
  Record(LogLevel::kInfo, EventKind::kAttemptKept, end_code_);
}

void RelaySession::Execute(const RetryLater& /*action*/) { waiting_ = true; }

void RelaySession::Execute(const ForwardAnswer& /*action*/) {
  const HttpResponseHead& head = answer_->head();
  request_.caller->Respond(
      {{head.status, BuildForwardedFields(head.fields)}, answer_->TakeBody()});
  End(answer_->IsGood() ? ResultCode::kOk : ResultCode::kUpstreamFailed);
}

void RelaySession::Execute(const RefuseNotRun& action) {
  RespondWithError(action.code, ComputeReturnTime(context_, request_.pool,
                                                  action.code, TimeLeft()));
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
  segment_guard_.HandleEnd();
  timeout_timer_.reset();
  DaemonState& state = context_.state;
  state.metrics.CountAnswer(code);
  state.relay.metrics.CountAnswer(request_.route.name, request_.pool, code);
  state.metrics.Observe(LatencyKind::kRequestTime,
                        context_.loop.Now() - arrived_);
  const bool good = code == ResultCode::kOk || code == ResultCode::kCancelled;
  if (!good) return Record(LogLevel::kWarning, EventKind::kRequestFailed, code);
  if (code == ResultCode::kOk) guard_.HandleAnswered();
  if (times_.IsLate(request_.route, context_.loop.Now())) {
    return Record(LogLevel::kWarning, EventKind::kRequestLate, code);
  }
  if (state.requests_started % kLogEvery != 0) return;
  Record(LogLevel::kInfo, EventKind::kRequestAnswered, code);
}

void RelaySession::Record(LogLevel level, EventKind kind,
                          ResultCode code) const {
  const Duration age = context_.loop.Now() - arrived_;
  const auto first_event = times_.first_event_after();
  context_.state.timeline.Record(
      level, kind, code,
      {{"request", request_.fields.attempt_id},
       {"route", request_.route.name.text()},
       {"pool", request_.pool.text()},
       {"attempts", std::to_string(attempts_)},
       {"retry_balance", std::to_string(Budget().balance())},
       {"age_us", std::to_string(age.count())},
       {"first_event_us",
        first_event ? std::to_string(first_event->count()) : ""},
       {"longest_pause_us", std::to_string(times_.longest_gap().count())},
       {"last_event", last_event_id_ ? std::to_string(*last_event_id_) : ""},
       {"path", path_},
       {"status", answer_ ? std::to_string(answer_->head().status) : ""},
       {"tables", std::to_string(request_.tables->spec().version)}});
}

}  // namespace wisteriayoke
