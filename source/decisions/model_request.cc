#include "decisions/model_request.h"

#include <utility>

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

constexpr AttemptNumber kMaxAttempts = 4;

}  // namespace

std::vector<ModelRequestAction> ModelRequest::Handle(
    const ModelRequestEvent& event) {
  if (finished_) return {};
  return std::visit(
      Overloaded{
          [](const ModelAdmitted&) { return Actions{RequestChain{}}; },
          [this](const ChainChosen& chosen) { return HandleChain(chosen); },
          [this](const ChainUnavailable&) {
            return Fail(ResultCode::kNoUpstream,
                        "no usable engines cover the model's layers");
          },
          [this](const TokenArrived& token) { return HandleToken(token); },
          [this](const StreamEnded& end) { return HandleEnd(end); },
          [this](const AttemptBroke& broke) { return HandleBreak(broke); },
          [this](const CallerLeft&) {
            return Fail(ResultCode::kCancelled, "the caller left");
          },
          [this](const DeadlinePassed&) {
            return Fail(ResultCode::kDeadlineExceeded,
                        "the route's deadline passed");
          },
      },
      event);
}

ModelRequest::Actions ModelRequest::HandleChain(const ChainChosen& event) {
  if (running_) return {};
  running_ = true;
  ++attempt_;
  return {StartAttempt{attempt_, event.chain, delivered_tokens(), delivered_}};
}

ModelRequest::Actions ModelRequest::HandleToken(const TokenArrived& event) {
  if (!IsCurrent(event.attempt)) return {};
  if (event.index != delivered_tokens()) {
    return RetryWithout({}, ResultCode::kTokenOutOfOrder);
  }
  if (!CoversAllLayers(event.passed, layer_count_)) {
    return RetryWithout({}, ResultCode::kLayerChainBroken);
  }
  delivered_.push_back(event.text);
  return {DeliverToken{event.index, event.text}};
}

ModelRequest::Actions ModelRequest::HandleEnd(const StreamEnded& event) {
  if (!IsCurrent(event.attempt)) return {};
  finished_ = true;
  running_ = false;
  return {CompleteAnswer{event.finish_reason}};
}

ModelRequest::Actions ModelRequest::HandleBreak(const AttemptBroke& event) {
  if (!IsCurrent(event.attempt)) return {};
  return RetryWithout(event.culprit, event.code);
}

ModelRequest::Actions ModelRequest::RetryWithout(const UpstreamName& culprit,
                                                 ResultCode code) {
  if (attempt_ >= kMaxAttempts) {
    return Fail(code, "all attempts of the request broke");
  }
  running_ = false;
  if (!culprit.empty()) excluded_.insert(culprit);
  return {CancelAttempt{attempt_}, RequestChain{excluded_}};
}

ModelRequest::Actions ModelRequest::Fail(ResultCode code, std::string message) {
  Actions actions;
  if (running_) actions.emplace_back(CancelAttempt{attempt_});
  finished_ = true;
  running_ = false;
  actions.emplace_back(
      FailAnswer{code, std::move(message), delivered_tokens()});
  return actions;
}

}  // namespace wisteriayoke
