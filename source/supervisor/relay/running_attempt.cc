#include "supervisor/relay/running_attempt.h"

#include <algorithm>
#include <utility>

#include "supervisor/context/fleet_leaving.h"

namespace wisteriayoke {

RunningAttempt::RunningAttempt(DaemonContext context, RelayTarget target)
    : context_(context),
      target_(std::move(target)),
      sent_at_(context.loop.Now()) {
  for (const auto& name : target_.ListUpstreams()) {
    context_.state.upstreams.RecordStart(name);
    context_.state.upstreams.RecordPrefillStart(name);
  }
}

bool RunningAttempt::RunsOn(const UpstreamName& upstream) const {
  return std::any_of(
      target_.chain.begin(), target_.chain.end(),
      [&upstream](const Stage& stage) { return stage.upstream == upstream; });
}

UpstreamName RunningAttempt::FindFailedUpstream(
    const AnswerFields& fields) const {
  for (const auto& stage : target_.chain) {
    if (fields.failed_upstream == stage.endpoint) return stage.upstream;
  }
  return target_.upstream;
}

void RunningAttempt::RecordSigns(const AnswerFields& fields,
                                 const std::string& attempt_id) {
  if (fields.leaving) {
    RecordLeaving(context_, target_.upstream, target_.started_ms);
  }
  if (!fields.hold_off && fields.unreadable_hold_off.empty()) return;
  const UpstreamName stage = FindFailedUpstream(fields);
  const Duration asked = fields.hold_off.value_or(Duration::zero());
  const TimePoint now = context_.loop.Now();
  UpstreamTracker& tracker = context_.state.upstreams;
  tracker.RecordHoldOff(target_.upstream, asked, now);
  if (stage != target_.upstream) tracker.RecordHoldOff(stage, asked, now);
  context_.state.timeline.Record(LogLevel::kInfo, EventKind::kUpstreamHeldOff,
                                 ResultCode::kOk,
                                 {{"upstream", target_.upstream.text()},
                                  {"stage", stage.text()},
                                  {"request", attempt_id},
                                  {"asked_us", std::to_string(asked.count())},
                                  {"unreadable", fields.unreadable_hold_off}});
}

void RunningAttempt::Pause() {
  if (call_) call_->Pause();
}

void RunningAttempt::Resume() {
  if (call_) call_->Resume();
}

bool RunningAttempt::BeginAnswer() {
  EndPrefill();
  return !std::exchange(answer_begun_, true);
}

void RunningAttempt::EndPrefill() {
  if (!std::exchange(prefilling_, false)) return;
  for (const auto& name : target_.ListUpstreams()) {
    context_.state.upstreams.RecordPrefillEnd(name);
  }
}

void RunningAttempt::End(UpstreamFeedback feedback, Duration poor_time) {
  EndPrefill();
  for (const auto& name : target_.ListUpstreams()) {
    Release(name, feedback, poor_time);
  }
  if (call_) call_->Cancel();
  call_.reset();
}

void RunningAttempt::Release(const UpstreamName& upstream,
                             UpstreamFeedback feedback, Duration poor_time) {
  UpstreamTracker& tracker = context_.state.upstreams;
  const TimePoint now = context_.loop.Now();
  switch (feedback) {
    case UpstreamFeedback::kGood:
      return tracker.RecordSuccess(upstream, now - sent_at_, now);
    case UpstreamFeedback::kPoor:
      // Not the time taken: an upstream that fails fast must not look fast.
      return tracker.RecordPoorAnswer(upstream, poor_time);
    case UpstreamFeedback::kNone:
      return tracker.RecordEnd(upstream);
  }
}

}  // namespace wisteriayoke
