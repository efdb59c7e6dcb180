#include "decisions/service_request.h"

#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr AttemptNumber kMaxAttempts = 3;

}  // namespace

std::vector<ServiceRequestAction> ServiceRequest::Handle(
    const ServiceRequestEvent& event) {
  if (finished_) return {};
  return std::visit(
      Overloaded{
          [](const ServiceAdmitted&) { return Actions{RequestUpstream{}}; },
          [this](const UpstreamChosen& chosen) {
            current_ = chosen.upstream;
            return Actions{SendCall{++attempt_, chosen.upstream}};
          },
          [this](const UpstreamUnavailable&) {
            return Fail(ResultCode::kNoUpstream, "no usable upstream");
          },
          [this](const CallAnswered& answer) {
            if (answer.attempt != attempt_) return Actions{};
            finished_ = true;
            return Actions{ReturnAnswer{}};
          },
          [this](const CallBroke& broke) { return HandleBreak(broke); },
      },
      event);
}

ServiceRequest::Actions ServiceRequest::HandleBreak(const CallBroke& event) {
  if (event.attempt != attempt_) return {};
  if (event.sent && !idempotent_) {
    return Fail(ResultCode::kOutcomeUnknown,
                "the call broke after it was sent; it may have run");
  }
  if (attempt_ >= kMaxAttempts) {
    return Fail(
        event.sent ? ResultCode::kUpstreamFailed : ResultCode::kNoUpstream,
        "all attempts of the call broke");
  }
  excluded_.insert(current_);
  return {RequestUpstream{excluded_}};
}

ServiceRequest::Actions ServiceRequest::Fail(ResultCode code,
                                             std::string message) {
  finished_ = true;
  return {FailCall{code, std::move(message)}};
}

}  // namespace wisteriayoke
