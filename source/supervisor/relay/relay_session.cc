#include "supervisor/relay/relay_session.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"
#include "supervisor/relay/relay_refusal.h"
#include "wire/digest.h"

namespace wisteriayoke {
namespace {

/// How long a connection to an upstream may take; they are a few milliseconds
/// away, and one that is dark never answers.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Silence of a stream, as a multiple of its usual time between events, after
/// which its stages are asked what holds it up.
constexpr int kDoubtGaps = 3;
/// Bounds of that silence: what a read prompt of another request adds to a gap,
/// and the longest pause that callers take for none.
constexpr Duration kLeastDoubt = std::chrono::milliseconds(70);
constexpr Duration kMostDoubt = std::chrono::milliseconds(200);
/// Silence after which a stream is given up although no stage is known to be
/// at fault; callers leave after two seconds.
constexpr Duration kGiveUpAfter = std::chrono::milliseconds(1100);
/// How long a stream that was begun waits for another path; together with the
/// time until its loss is noticed less than callers wait for an event.
constexpr Duration kLongestPathWait = std::chrono::milliseconds(1200);
/// Part of its latency objective after which an idempotent call is sent to
/// another upstream, in thousandths.
constexpr int kPatiencePerMille = 600;
constexpr int kStatusOk = 200;
constexpr int kStatusMultipleChoices = 300;
constexpr int kStatusTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooMany = 429;
constexpr int kStatusFailure = 500;
constexpr int kStatusUnavailable = 503;
/// One answer in so many that went well is logged.
constexpr std::uint64_t kLogEvery = 16;

bool IsGood(int status) {
  return status >= kStatusOk && status < kStatusMultipleChoices;
}

/// Returns what requests of one caller with the same content have in common.
std::string ComputeFingerprint(const RelayedRequest& relayed) {
  const HttpRequest& request = relayed.request;
  return ComputeDigest(request.method + "\n" + relayed.fields.host + "\n" +
                       request.target + "\n" + relayed.workspace.text() + "\n" +
                       request.body);
}

/// Tells whether callers take the status for a promise that nothing has run.
bool PromisesNotRun(int status) {
  return status == kStatusTimeout || status == kStatusMisdirected ||
         status == kStatusTooMany || status == kStatusUnavailable;
}

}  // namespace

RelaySession::RelaySession(DaemonContext context, RelayedRequest request,
                           DoubtHandler on_doubt)
    : context_(context),
      request_(std::move(request)),
      on_doubt_(std::move(on_doubt)),
      decider_({.repeatable = request_.route.repeatable(),
                .max_attempts = request_.route.max_attempts}),
      guard_(context, ComputeFingerprint(request_),
             RequestId(request_.fields.attempt_id)),
      arrived_(context.loop.Now()) {
  time_limit_ = request_.route.timeout;
  if (request_.fields.deadline) {
    time_limit_ = std::min(time_limit_, *request_.fields.deadline);
  }
}

RetryBudget& RelaySession::Budget() {
  RelayState& relay = context_.state.relay;
  return relay.budgets.try_emplace(request_.pool, relay.retry_limits)
      .first->second;
}

Duration RelaySession::TimeLeft() const {
  return time_limit_ - (context_.loop.Now() - arrived_);
}

void RelaySession::Start() {
  Budget().RecordRequest();
  const std::weak_ptr<RelaySession> weak = weak_from_this();
  request_.caller->set_on_closed([weak] {
    if (const auto self = weak.lock()) self->Leave();
  });
  request_.caller->set_on_terminate([weak] {
    if (const auto self = weak.lock()) self->Decide(StopDeadlinePassed{});
  });
  request_.caller->set_on_writable([weak] {
    const auto self = weak.lock();
    if (!self || !self->held_back_) return;
    self->held_back_ = false;
    self->progress_at_ = self->context_.loop.Now();
    if (self->call_) self->call_->Resume();
  });
  time_timer_ = context_.loop.Schedule(
      time_limit_,
      [self = shared_from_this()] { self->Decide(TimeLimitPassed{}); });
  StartAttempt();
}

void RelaySession::StartAttempt() {
  if (TimeLeft() <= Duration::zero()) return Decide(TimeLimitPassed{});
  const DaemonState& state = context_.state;
  // Looked at right before each send, since the instance may have been
  // suspended in between.
  if (!request_.workspace.empty() &&
      !state.relay.freshness.AllowsKeys(context_.loop.BootNow())) {
    return Decide(NoTarget{ResultCode::kNotReady});
  }
  if (guard_.IsRefused()) return Decide(NoTarget{ResultCode::kQuarantined});
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  if (pool == nullptr) return Decide(NoTarget{});
  const TargetChoice choice = Choose(*pool);
  if (!choice.target) return HandleNoTarget(choice.code);
  waiting_since_.reset();
  Send(*choice.target);
}

/// A caller that has a part of its answer loses more by the end of the stream
/// than by a pause, so that a stream that was begun waits for a path.
void RelaySession::HandleNoTarget(ResultCode code) {
  const TimePoint now = context_.loop.Now();
  if (delivering_ && !waiting_since_) waiting_since_ = now;
  const bool may_wait =
      waiting_since_ && now - *waiting_since_ < kLongestPathWait;
  if (!may_wait) Decide(NoTarget{code});
}

std::set<UpstreamName> RelaySession::ListShunned() const {
  std::set<UpstreamName> all = excluded_;
  all.insert(avoided_.begin(), avoided_.end());
  return all;
}

/// Chooses a target without those that may have held the request up, if there
/// is one, but in any case without those that failed it.
TargetChoice RelaySession::Choose(const RelayPool& pool) const {
  const double tokens = request_.fields.prompt_tokens;
  if (!avoided_.empty()) {
    TargetChoice choice = ChooseTarget(context_, pool, ListShunned(), tokens);
    if (choice.target) return choice;
  }
  return ChooseTarget(context_, pool, excluded_, tokens);
}

void RelaySession::Send(const RelayTarget& target) {
  target_ = target;
  head_ = {};
  status_.reset();
  event_stream_ = false;
  body_.clear();
  splitter_ = {};
  sent_at_ = progress_at_ = context_.loop.Now();
  doubted_at_.reset();
  ++attempts_;
  path_ = target.Describe();
  decider_.RecordSent();
  reading_ = true;
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
  if (last_event_) fields.last_event_id = std::to_string(*last_event_);
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
                 [this](const CallBodyData& piece) { HandleBodyData(piece); },
                 [this](const CallEnd&) { HandleEnd(); },
                 [this](const CallFailure& failure) { HandleFailure(failure); },
             },
             event);
}

void RelaySession::HandleHead(const CallHead& event) {
  head_ = event.head;
  status_ = head_.status;
  const AnswerFields fields = ReadAnswerFields(head_);
  if (fields.not_run) {
    const UpstreamName failed_upstream = FindCulprit(fields);
    if (!target_->chain.empty() || head_.status == kStatusMisdirected) {
      context_.state.upstreams.RecordDecline(failed_upstream,
                                             context_.loop.Now());
    }
    return RejectAttempt(ResultCode::kUpstreamRefused, failed_upstream);
  }
  const bool own = fields.has_receipt && !fields.has_content_encoding &&
                   fields.attempt_id == request_.fields.attempt_id;
  if (!own) return LoseAttempt(ResultCode::kUpstreamFailed, false);
  event_stream_ = is_stream() && IsGood(head_.status);
}

void RelaySession::HandleBodyData(const CallBodyData& piece) {
  if (!event_stream_) {
    body_ += piece.data;
    return;
  }
  ForwardEvents(splitter_.Push(piece.data));
}

void RelaySession::ForwardEvents(std::vector<StreamEvent> events) {
  std::string text;
  for (auto& event : events) {
    // A resumed run may repeat what the caller has.
    const bool known = event.id && last_event_ && *event.id <= *last_event_;
    if (known) continue;
    if (event.id) last_event_ = event.id;
    text += event.text;
  }
  if (events.empty()) return;
  EndReading();
  progress_at_ = context_.loop.Now();
  doubted_at_.reset();
  Forward(text);
}

void RelaySession::Forward(std::string_view data) {
  const TimePoint now = context_.loop.Now();
  const TimePoint before = std::exchange(delivered_at_, now);
  if (delivering_) {
    longest_pause_ = std::max(longest_pause_, now - before);
    gaps_time_ += now - before;
    ++gaps_;
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
  HoldBackIfSlow();
}

void RelaySession::HoldBackIfSlow() {
  if (ended_ || held_back_ || !request_.caller->ShouldPause()) return;
  held_back_ = true;
  if (call_) call_->Pause();
}

void RelaySession::HandleEnd() {
  if (event_stream_) return FinishStream();
  FinishWhole();
}

void RelaySession::FinishStream() {
  EndAttempt(AttemptVerdict::kGood);
  const std::string rest = splitter_.rest();
  if (!delivering_ || !rest.empty()) Forward(rest);
  if (ended_) return;
  request_.caller->EndStream();
  End(ResultCode::kOk);
}

void RelaySession::FinishWhole() {
  if (PromisesNotRun(head_.status)) {
    // Without the upstream's word the promise would be the router's own.
    return LoseAttempt(ResultCode::kUpstreamFailed, false);
  }
  if (head_.status >= kStatusFailure) {
    excluded_.insert(target_->upstream);
    EndAttempt(AttemptVerdict::kPoor);
    return Decide(AttemptFailed{});
  }
  EndAttempt(AttemptVerdict::kGood);
  Carry(ForwardAnswer{});
}

void RelaySession::HandleFailure(const CallFailure& failure) {
  const UpstreamName upstream = target_->upstream;
  if (!failure.sent) {
    context_.state.upstreams.Eject(upstream, context_.loop.Now());
    return RejectAttempt(failure.code, upstream);
  }
  const bool on_chain = !target_->chain.empty();
  guard_.HandleBreak(upstream, failure.code,
                     static_cast<TokenIndex>(last_event_.value_or(0)));
  LoseAttempt(failure.code, false);
  if (on_chain) on_doubt_({upstream});
}

void RelaySession::CheckProgress() {
  if (ended_) return;
  if (waiting_since_) return StartAttempt();
  if (!target_ || held_back_) return;
  const Duration silence = context_.loop.Now() - progress_at_;
  if (!is_stream()) {
    const bool hedged =
        request_.route.repeatable() && attempts_ < request_.route.max_attempts;
    const Duration patience =
        request_.route.latency_objective * kPatiencePerMille / 1000;
    if (!hedged || silence < patience) return;
    return LoseAttempt(ResultCode::kTimedOut, false);
  }
  if (!request_.route.repeatable()) return;
  if (silence >= kGiveUpAfter) return GiveUpAttempt();
  const TimePoint since = doubted_at_.value_or(progress_at_);
  const Duration patience = doubted_at_ ? kMostDoubt : DoubtAfter();
  if (context_.loop.Now() - since < patience) return;
  doubted_at_ = context_.loop.Now();
  on_doubt_(target_->ListUpstreams());
}

/// Returns the silence after which the stages are doubted.
Duration RelaySession::DoubtAfter() const {
  if (gaps_ == 0) return kMostDoubt;
  return std::clamp(kDoubtGaps * gaps_time_ / gaps_, kLeastDoubt, kMostDoubt);
}

/// Goes on elsewhere if there is a path without any of the present stages; if
/// not, another attempt would only wait behind this one's.
void RelaySession::GiveUpAttempt() {
  const std::set<UpstreamName> before = avoided_;
  for (const auto& name : target_->ListUpstreams()) avoided_.insert(name);
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  if (pool != nullptr &&
      ChooseTarget(context_, *pool, ListShunned(), 0).target) {
    return LoseAttempt(ResultCode::kTimedOut, false);
  }
  avoided_ = before;
}

bool RelaySession::RunsOn(const UpstreamName& upstream) const {
  if (ended_ || !target_ || target_->chain.empty()) return false;
  const auto names = target_->ListUpstreams();
  return std::find(names.begin(), names.end(), upstream) != names.end();
}

void RelaySession::HandleQuiet(const UpstreamName& upstream) {
  if (!doubted_at_ || !RunsOn(upstream)) return;
  avoided_.insert(upstream);
  const RelayPool* pool = request_.tables->FindPool(request_.pool);
  const bool elsewhere =
      pool != nullptr &&
      ChooseTarget(context_, *pool, ListShunned(), 0).target.has_value();
  if (elsewhere) LoseAttempt(ResultCode::kTimedOut, false);
}

void RelaySession::HandleSuspect(const UpstreamName& upstream) {
  if (!RunsOn(upstream)) return;
  excluded_.insert(upstream);
  LoseAttempt(ResultCode::kUpstreamFailed, upstream == target_->upstream);
}

void RelaySession::LoseAttempt(ResultCode code, bool upstream_gone) {
  if (target_->chain.empty()) excluded_.insert(target_->upstream);
  EndAttempt(AttemptVerdict::kPoor);
  Decide(AttemptLost{code, upstream_gone});
}

/// Returns the stage that the answer names as the one at fault; the upstream
/// that answered if it names none.
UpstreamName RelaySession::FindCulprit(const AnswerFields& fields) const {
  for (const auto& stage : target_->chain) {
    if (fields.failed_upstream == stage.endpoint) return stage.upstream;
  }
  return target_->upstream;
}

void RelaySession::RejectAttempt(ResultCode code,
                                 const UpstreamName& failed_upstream) {
  excluded_.insert(failed_upstream);
  EndAttempt(AttemptVerdict::kNone);
  Decide(AttemptRejected{code});
}

void RelaySession::EndAttempt(AttemptVerdict verdict) {
  if (!target_) return;
  EndReading();
  for (const auto& name : target_->ListUpstreams()) EndWork(name, verdict);
  target_.reset();
  if (call_) call_->Cancel();
  call_.reset();
}

void RelaySession::EndReading() {
  if (!std::exchange(reading_, false)) return;
  for (const auto& name : target_->ListUpstreams()) {
    context_.state.upstreams.RecordPrefillEnd(name);
  }
}

void RelaySession::EndWork(const UpstreamName& upstream,
                           AttemptVerdict verdict) {
  UpstreamTracker& tracker = context_.state.upstreams;
  const TimePoint now = context_.loop.Now();
  switch (verdict) {
    case AttemptVerdict::kGood:
      return tracker.RecordSuccess(upstream, now - sent_at_, now);
    case AttemptVerdict::kPoor:
      // Not the measured time: an upstream that fails fast isn't a fast one.
      return tracker.RecordPoorAnswer(upstream, request_.route.timeout);
    case AttemptVerdict::kNone:
      return tracker.RecordEnd(upstream);
  }
}

void RelaySession::Decide(const RelayRequestEvent& event) {
  if (ended_) return;
  end_code_ = CodeOf(event);
  const RelayRequestAction action = decider_.Handle(event, Budget());
  std::visit([this](const auto& step) { Carry(step); }, action);
}

void RelaySession::Carry(const SendAgain& /*action*/) {
  const auto kind =
      delivering_ ? EventKind::kStreamResumed : EventKind::kRequestRetried;
  Record(LogLevel::kInfo, kind, end_code_);
  StartAttempt();
}

void RelaySession::Carry(const ForwardAnswer& /*action*/) {
  request_.caller->Respond(
      {{head_.status, BuildForwardedFields(head_.fields)}, std::move(body_)});
  End(IsGood(head_.status) ? ResultCode::kOk : ResultCode::kUpstreamFailed);
}

void RelaySession::Carry(const RefuseNotRun& action) {
  Answer(action.code, kRetryAfter);
}

void RelaySession::Carry(const FailOutcomeUnknown& action) {
  Answer(action.code, Duration::zero());
}

void RelaySession::Carry(const AbortAnswer& action) {
  EndAttempt(AttemptVerdict::kNone);
  request_.caller->BreakStream();
  End(action.code);
}

void RelaySession::Answer(ResultCode code, Duration retry_after) {
  EndAttempt(AttemptVerdict::kNone);
  request_.caller->Respond(
      BuildRefusal(request_.fields.attempt_id, code, retry_after));
  End(code);
}

void RelaySession::Leave() {
  if (ended_) return;
  EndAttempt(AttemptVerdict::kNone);
  End(ResultCode::kCancelled);
}

void RelaySession::End(ResultCode code) {
  if (ended_) return;
  ended_ = true;
  time_timer_.reset();
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
  return longest_pause_ > request_.route.max_event_gap ||
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
       {"longest_pause_us", std::to_string(longest_pause_.count())},
       {"last_event", last_event_ ? std::to_string(*last_event_) : ""},
       {"path", path_},
       {"status", status_ ? std::to_string(*status_) : ""},
       {"tables", std::to_string(request_.tables->spec().version)}});
}

}  // namespace wisteriayoke
