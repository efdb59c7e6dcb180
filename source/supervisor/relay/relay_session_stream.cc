// The stream of events that is forwarded to the caller.
#include "supervisor/relay/relay_session.h"

namespace wisteriayoke {

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

}  // namespace wisteriayoke
