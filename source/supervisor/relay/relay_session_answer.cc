// The end of a request: its answer or refusal.
#include "supervisor/relay/relay_refusal.h"
#include "supervisor/relay/relay_session.h"
#include "supervisor/relay/return_time.h"

namespace wisteriayoke {
namespace {

/// One in this many successful answers is logged.
constexpr std::uint64_t kLogEvery = 16;

}  // namespace

void RelaySession::HandleEnd() {
  if (answer_->is_stream()) return FinishStream();
  FinishResponse();
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

void RelaySession::Execute(const ForwardAnswer& /*action*/) {
  const HttpResponseHead& head = answer_->head();
  request_.caller->Respond(
      {{head.status, BuildForwardedFields(head.fields)}, answer_->TakeBody()});
  End(answer_->IsGood() ? ResultCode::kOk : ResultCode::kUpstreamFailed);
}

void RelaySession::Execute(const RefuseNotRun& action) {
  const RequestRank rank =
      request_.is_ranked() ? request_.OrderRank() : RequestRank{};
  RespondWithError(action.code,
                   ComputeReturnTime(context_, request_.pool, action.code,
                                     TimeLeft(), rank));
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
  HttpResponse refusal =
      BuildRefusal(request_.fields.attempt_id, code, retry_after);
  if (search_.ranked().rule() == PlaceRule::kDisplaced &&
      !decider_.may_have_run()) {
    // It made way for another request, so its own rate isn't the reason.
    refusal.head.status = DescribeResultCode(ResultCode::kNotReady).http_status;
  }
  request_.caller->Respond(refusal);
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

}  // namespace wisteriayoke
