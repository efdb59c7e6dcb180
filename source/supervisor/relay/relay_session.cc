// Arrival of a request, and the choice of a target for it.
#include "supervisor/relay/relay_session.h"

#include <utility>

namespace wisteriayoke {

RelaySession::RelaySession(DaemonContext context, RelayedRequest request,
                           StallHandler on_stall)
    : context_(context),
      request_(std::move(request)),
      on_stall_(std::move(on_stall)),
      decider_({.repeatable = request_.route.repeatable(),
                .max_attempts = request_.route.max_attempts,
                .uses_reserve = RecordArrival(context, request_)}),
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

bool RelaySession::HasStaleKey() const {
  return request_.needs_fresh_tables &&
         !context_.state.relay.freshness.AllowsKeys(context_.loop.BootNow());
}

void RelaySession::StartAttempt() {
  if (TimeLeft() <= Duration::zero()) return Feed(TimeLimitPassed{});
  // Checked right before each send, since the instance may have been suspended
  // in between.
  if (HasStaleKey()) return HandleTargetUnavailable(ResultCode::kNotReady);
  // An answer that has begun shows that its segments crash no upstream.
  if (guard_.Blocks() || (!times_.begun() && segment_guard_.Blocks())) {
    return Feed(TargetUnavailable{ResultCode::kQuarantined});
  }
  if (!decider_.PayForRetry(Budget())) return;
  const TargetChoice choice = search_.Search(attempts_ == 0, times_.begun());
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

void RelaySession::CheckProgress() {
  if (ended_) return;
  if (waiting_) {
    const bool due = search_.IsDue(times_.begun());
    if (due || (!times_.begun() && HasStaleKey())) StartAttempt();
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

std::optional<PlaceTicket> RelaySession::FindTicket() const {
  if (ended_ || !waiting_) return std::nullopt;
  return search_.ranked().ticket();
}

bool RelaySession::TakeTurn() {
  search_.ranked().GiveTurn();
  StartAttempt();
  return !waiting_ || search_.is_restricted();
}

void RelaySession::Feed(const RelayRequestEvent& event) {
  if (ended_) return;
  end_code_ = CodeOf(event);
  const RelayRequestAction action = decider_.Handle(event, Budget());
  std::visit([this](const auto& step) { Execute(step); }, action);
}

void RelaySession::Record(LogLevel level, EventKind kind,
                          ResultCode code) const {
  const Duration age = context_.loop.Now() - arrived_;
  const auto first_event = times_.first_event_after();
  std::vector<LogField> fields{
      {"request", request_.fields.attempt_id},
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
      {"tables", std::to_string(request_.tables->spec().version)}};
  if (const auto rule = search_.ranked().rule()) {
    fields.push_back({"rule", std::string(kPlaceRuleNames.NameOf(*rule))});
    fields.push_back({"rank", std::to_string(request_.OrderRank().index)});
  }
  context_.state.timeline.RecordFields(level, kind, code, fields);
}

}  // namespace wisteriayoke
