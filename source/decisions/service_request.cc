#include "decisions/service_request.h"

#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr AttemptNumber kMaxAttempts = 3;

}  // namespace

ServiceRequest ServiceRequest::ForIdempotent() { return {}; }

ServiceRequest ServiceRequest::ForOnce(LedgerRequest request,
                                       LedgerLimits limits,
                                       TimePoint send_deadline) {
  ServiceRequest decider;
  decider.claim_.emplace(std::move(request), limits);
  decider.send_deadline_ = send_deadline;
  return decider;
}

std::vector<ServiceRequestAction> ServiceRequest::Handle(
    const ServiceRequestEvent& event, const ClockReading& now) {
  return std::visit(
      Overloaded{
          [&](const ServiceAdmitted&) { return HandleAdmitted(now); },
          [&](const UpstreamChosen& chosen) {
            return HandleChosen(chosen, now);
          },
          [&](const UpstreamUnavailable&) {
            return FailUnsent(ResultCode::kNoUpstream, "no usable upstream",
                              now);
          },
          [&](const CallAnswered& answer) { return HandleAnswer(answer, now); },
          [&](const CallBroke& broke) { return HandleBreak(broke, now); },
          [&](const LedgerEvent& ledger) {
            return ForwardToClaim(ledger, now);
          },
      },
      event);
}

ServiceRequest::Actions ServiceRequest::HandleAdmitted(
    const ClockReading& now) {
  if (claim_) return Translate(claim_->Begin(now));
  return {RequestUpstream{}};
}

ServiceRequest::Actions ServiceRequest::HandleChosen(
    const UpstreamChosen& event, const ClockReading& now) {
  if (finished_) return {};
  if (claim_ && now.monotonic >= send_deadline_) {
    return FailUnsent(ResultCode::kDeadlineTooShort,
                      "the route's deadline passed before the call was sent",
                      now);
  }
  current_ = event.upstream;
  return {SendCall{++attempt_, event.upstream}};
}

ServiceRequest::Actions ServiceRequest::HandleAnswer(const CallAnswered& event,
                                                     const ClockReading& now) {
  if (finished_ || event.attempt != attempt_) return {};
  if (claim_) return ForwardToClaim(ServiceAnswered{event.answer}, now);
  finished_ = true;
  return {ReturnAnswer{}};
}

ServiceRequest::Actions ServiceRequest::HandleBreak(const CallBroke& event,
                                                    const ClockReading& now) {
  if (finished_ || event.attempt != attempt_) return {};
  if (claim_ && event.sent) return ForwardToClaim(CallLost{}, now);
  if (attempt_ < kMaxAttempts) {
    excluded_.insert(current_);
    return {RequestUpstream{excluded_}};
  }
  if (event.sent) {
    return Fail(ResultCode::kUpstreamFailed, "all attempts of the call broke");
  }
  return FailUnsent(ResultCode::kNoUpstream, "no upstream took the call", now);
}

ServiceRequest::Actions ServiceRequest::FailUnsent(ResultCode code,
                                                   std::string message,
                                                   const ClockReading& now) {
  if (finished_) return {};
  if (claim_) return ForwardToClaim(CallNotSent{code, std::move(message)}, now);
  return Fail(code, std::move(message));
}

ServiceRequest::Actions ServiceRequest::ForwardToClaim(
    const LedgerEvent& event, const ClockReading& now) {
  if (!claim_) return {};
  return Translate(claim_->Handle(event, now));
}

ServiceRequest::Actions ServiceRequest::Translate(
    const std::vector<LedgerAction>& actions) {
  Actions translated;
  for (const auto& action : actions) {
    std::visit(
        Overloaded{
            [&](const PermitDispatch&) {
              translated.emplace_back(RequestUpstream{});
            },
            [&](const DeliverAnswer&) {
              finished_ = true;
              translated.emplace_back(ReturnAnswer{});
            },
            [&](const ReplayAnswer& replay) {
              finished_ = true;
              translated.emplace_back(replay);
            },
            [&](const RefuseSend& refusal) {
              finished_ = true;
              translated.emplace_back(FailCall{refusal.code, refusal.message});
            },
            [&](const auto& store) { translated.emplace_back(store); },
        },
        action);
  }
  return translated;
}

ServiceRequest::Actions ServiceRequest::Fail(ResultCode code,
                                             std::string message) {
  finished_ = true;
  return {FailCall{code, std::move(message)}};
}

}  // namespace wisteriayoke
