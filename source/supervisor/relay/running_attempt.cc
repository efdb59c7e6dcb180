#include "supervisor/relay/running_attempt.h"

#include <algorithm>
#include <utility>

#include "supervisor/context/fleet_leaving.h"
#include "supervisor/relay/cost_routing.h"

namespace wisteriayoke {
namespace {

/// Events of a stream between two estimates of its work.
constexpr double kEventsPerUpdate = 8;

WorkAmount Times(const WorkAmount& work, double layers) {
  return {work.now * layers, work.at_end * layers};
}

}  // namespace

RunningAttempt::RunningAttempt(DaemonContext context, RelayTarget target,
                               RelayedRequest& request)
    : context_(context),
      target_(std::move(target)),
      request_(request),
      pool_(IsCostRouted(context.settings, *request.tables, request.pool)
                ? request.tables->FindPool(request.pool)
                : nullptr),
      sent_at_(context.loop.Now()) {
  for (const auto& name : target_.ListUpstreams()) {
    context_.state.upstreams.RecordStart(name);
    context_.state.upstreams.RecordPrefillStart(name);
  }
  AddWork();
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
  if (fields.not_run && pool_ != nullptr && on_chain()) {
    RecordFull(context_, *pool_, FindFailedUpstream(fields));
  }
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

bool RunningAttempt::RecordEvents(std::size_t events) {
  request_.events += static_cast<double>(events);
  EndPrefill();
  const bool begun = !std::exchange(answer_begun_, true);
  if (begun && pool_ != nullptr) {
    for (const auto& name : target_.ListUpstreams()) {
      context_.state.relay.work.RecordAcceptance(name);
    }
  }
  UpdateWork();
  return begun;
}

void RunningAttempt::AddWork() {
  if (pool_ == nullptr) return;
  RelayState& relay = context_.state.relay;
  const TimePoint now = context_.loop.Now();
  const RequestCosts& costs = CostsOf(relay, *pool_);
  expected_output_ =
      costs.Estimate(TraitsOf(request_), request_.events, now).mean;
  if (!on_chain()) {
    work_ = {expected_output_, expected_output_};
    return relay.work.Add(target_.upstream, work_);
  }
  const double prompt = request_.fields.prompt_tokens;
  work_ = {prompt + request_.events * costs.TokensPerEvent(now),
           prompt + expected_output_};
  work_known_until_ = request_.events + kEventsPerUpdate;
  for (const auto& stage : target_.chain) {
    const double layers = stage.layers.end - stage.layers.first;
    relay.work.Add(stage.upstream, Times(work_, layers), layers);
  }
}

void RunningAttempt::UpdateWork() {
  if (pool_ == nullptr || !on_chain()) return;
  if (request_.events < work_known_until_) return;
  work_known_until_ = request_.events + kEventsPerUpdate;
  RelayState& relay = context_.state.relay;
  const TimePoint now = context_.loop.Now();
  const RequestCosts& costs = CostsOf(relay, *pool_);
  const double prompt = request_.fields.prompt_tokens;
  const WorkAmount work{
      prompt + request_.events * costs.TokensPerEvent(now),
      prompt + costs.Estimate(TraitsOf(request_), request_.events, now).mean};
  for (const auto& stage : target_.chain) {
    const double layers = stage.layers.end - stage.layers.first;
    relay.work.Change(stage.upstream, Times(work_, layers),
                      Times(work, layers));
  }
  work_ = work;
}

void RunningAttempt::RemoveWork() {
  if (pool_ == nullptr) return;
  RelayState& relay = context_.state.relay;
  if (!on_chain()) return relay.work.Remove(target_.upstream, work_);
  for (const auto& stage : target_.chain) {
    const double layers = stage.layers.end - stage.layers.first;
    relay.work.Remove(stage.upstream, Times(work_, layers));
  }
}

/// Learns from an answer that is whole.
void RunningAttempt::LearnCost() {
  if (pool_ == nullptr) return;
  RelayState& relay = context_.state.relay;
  const TimePoint now = context_.loop.Now();
  RequestCosts& costs = CostsOf(relay, *pool_);
  const double amount =
      on_chain()
          ? request_.events
          : std::chrono::duration<double, std::milli>(now - sent_at_).count();
  if (amount <= 0) return;
  if (on_chain()) {
    relay.metrics.RecordOutput(pool_->name, expected_output_,
                               amount * costs.TokensPerEvent(now));
  }
  costs.Record(TraitsOf(request_), amount, now);
}

void RunningAttempt::EndPrefill() {
  if (!std::exchange(prefilling_, false)) return;
  for (const auto& name : target_.ListUpstreams()) {
    context_.state.upstreams.RecordPrefillEnd(name);
  }
}

void RunningAttempt::End(UpstreamFeedback feedback, Duration poor_time) {
  EndPrefill();
  RemoveWork();
  if (feedback == UpstreamFeedback::kGood) LearnCost();
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
