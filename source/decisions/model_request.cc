#include "decisions/model_request.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// Most attempts of one request.
constexpr AttemptNumber kMaxAttempts = 16;
/// Most attempts in a row that deliver no token.
constexpr AttemptNumber kMaxAttemptsWithoutToken = 6;
/// Delay before a chain is requested again.
constexpr Duration kChainRetryDelay = std::chrono::milliseconds(50);
/// Most requests in a row for a chain while none is available.
constexpr std::uint32_t kMaxChainWaits = 40;

/// Number of waits for a chain after which the engines that failed may be used
/// again.
constexpr std::uint32_t kWaitsBeforeReuse = 12;

/// Returns whether an attempt that broke with `code` may have run at an engine.
bool MayHaveRun(ResultCode code) {
  return code != ResultCode::kConnectFailed &&
         code != ResultCode::kUpstreamRefused &&
         code != ResultCode::kFieldInvalid;
}

}  // namespace

std::vector<ModelRequestAction> ModelRequest::Handle(
    const ModelRequestEvent& event) {
  if (finished_) return {};
  return std::visit(
      Overloaded{
          [this](const ModelAdmitted&) { return Actions{MakeChainRequest()}; },
          [this](const ModelSuspended&) { return Suspend(); },
          [this](const ModelResumed&) { return Resume(); },
          [this](const ChainChosen& chosen) { return HandleChain(chosen); },
          [this](const ChainUnavailable&) { return HandleUnavailable(); },
          [](const ChainPending&) {
            return Actions{WaitForChain{kChainRetryDelay}};
          },
          [this](const ChainWaitOver&) {
            return running_ || suspended_ ? Actions{}
                                          : Actions{MakeChainRequest()};
          },
          [this](const RequestRefused& refused) {
            return Fail(refused.code, refused.message);
          },
          [this](const TokenArrived& token) { return HandleToken(token); },
          [this](const StreamEnded& end) { return HandleEnd(end); },
          [this](const AttemptBroke& broke) { return HandleBreak(broke); },
          [this](const AttemptPreempted& preempted) {
            return HandlePreempted(preempted);
          },
          [this](const CallerDisconnected&) {
            return Fail(ResultCode::kCancelled, "the caller left");
          },
          [this](const DeadlinePassed&) {
            return Fail(ResultCode::kDeadlineExceeded,
                        "the request's deadline passed");
          },
      },
      event);
}

/// Stops the attempt; the engines keep the KV cache for a later attempt.
ModelRequest::Actions ModelRequest::Suspend() {
  if (suspended_) return {};
  suspended_ = true;
  if (!running_) return {};
  running_ = false;
  may_have_run_ = true;
  ++suspensions_;
  UpdateHolders({});
  return {CancelAttempt{attempt_, {}, ResultCode::kOk, false}};
}

ModelRequest::Actions ModelRequest::Resume() {
  if (!suspended_) return {};
  suspended_ = false;
  return {MakeChainRequest()};
}

RequestChain ModelRequest::MakeChainRequest() const {
  RequestChain request{.excluded = excluded_, .warm = {}};
  for (const auto& [name, stage] : holders_) request.warm.insert(name);
  return request;
}

ModelRequest::Actions ModelRequest::HandleChain(const ChainChosen& event) {
  if (running_ || suspended_) return {};
  running_ = true;
  chain_waits_ = 0;
  ++attempt_;
  chain_ = event.chain;
  first_token_ = delivered_tokens();
  return {StartAttempt{attempt_, chain_, first_token_, delivered_,
                       PlanKv(chain_, holders_)}};
}

ModelRequest::Actions ModelRequest::HandleUnavailable() {
  if (running_ || suspended_) return {};
  if (chain_waits_ >= kMaxChainWaits) {
    return Fail(FailureCode(), "no usable engines cover the model's layers");
  }
  ++chain_waits_;
  // No other chain is available, and an engine that failed may have recovered.
  if (chain_waits_ >= kWaitsBeforeReuse) excluded_.clear();
  return {WaitForChain{kChainRetryDelay}};
}

/// Returns the code for a request that no attempt could finish.
ResultCode ModelRequest::FailureCode() const {
  if (!delivered_.empty()) return ResultCode::kStreamBroken;
  return may_have_run_ ? ResultCode::kUpstreamFailed : ResultCode::kNoUpstream;
}

ModelRequest::Actions ModelRequest::HandleToken(const TokenArrived& event) {
  if (!IsCurrent(event.attempt)) return {};
  may_have_run_ = true;
  if (event.index != delivered_tokens() || event.index >= spec_.max_tokens) {
    return RetryWithout(chain_.front().upstream, ResultCode::kTokenOutOfOrder);
  }
  const UpstreamName failed_upstream = FindFaultyUpstream(event.passed);
  if (!failed_upstream.empty()) {
    return RetryWithout(failed_upstream, ResultCode::kLayerChainBroken);
  }
  return Deliver(event);
}

/// Returns the first engine of the chain whose layers the token did not pass in
/// order, or an empty name.
UpstreamName ModelRequest::FindFaultyUpstream(
    const std::vector<LayerRange>& passed) const {
  for (std::size_t i = 0; i < chain_.size(); ++i) {
    if (i >= passed.size() || passed[i] != chain_[i].layers) {
      return chain_[i].upstream;
    }
  }
  if (passed.size() > chain_.size()) return chain_.back().upstream;
  return {};
}

ModelRequest::Actions ModelRequest::Deliver(const TokenArrived& event) {
  if (event.index != delivered_tokens()) {
    ReportBrokenInvariant(ResultCode::kTokenOutOfOrder,
                          "index " + std::to_string(event.index) + " after " +
                              std::to_string(delivered_.size()) + " tokens");
    return {};
  }
  if (!CoversAllLayers(event.passed, spec_.layer_count)) {
    ReportBrokenInvariant(ResultCode::kLayerChainBroken,
                          "token " + std::to_string(event.index) +
                              " did not pass each layer once");
    return Fail(ResultCode::kLayerChainBroken,
                "the chosen chain does not cover the model's layers");
  }
  attempts_without_token_ = 0;
  delivered_.push_back(event.text);
  return {DeliverToken{event.index, event.text}};
}

bool ModelRequest::IsCompleteEnd(const StreamEnded& event) const {
  if (event.tokens != delivered_tokens()) return false;
  return event.finish_reason != "length" ||
         delivered_tokens() == spec_.max_tokens;
}

ModelRequest::Actions ModelRequest::HandleEnd(const StreamEnded& event) {
  if (!IsCurrent(event.attempt)) return {};
  if (!IsCompleteEnd(event)) {
    return RetryWithout(chain_.front().upstream, ResultCode::kStreamBroken);
  }
  finished_ = true;
  running_ = false;
  return {CompleteAnswer{event.finish_reason}};
}

ModelRequest::Actions ModelRequest::HandleBreak(const AttemptBroke& event) {
  if (!IsCurrent(event.attempt)) return {};
  if (event.code == ResultCode::kFieldInvalid && !may_have_run_) {
    return Fail(event.code, "the engine refused the request as invalid");
  }
  return RetryWithout(event.failed_upstream, event.code);
}

ModelRequest::Actions ModelRequest::HandlePreempted(
    const AttemptPreempted& event) {
  if (!IsCurrent(event.attempt)) return {};
  may_have_run_ = true;
  running_ = false;
  UpdateHolders({});
  return {CancelAttempt{attempt_, {}, ResultCode::kOk, false},
          MakeChainRequest()};
}

/// Updates the engines that hold the KV cache of every delivered token. An
/// attempt that delivered no token leaves the earlier holders in place.
void ModelRequest::UpdateHolders(const UpstreamName& failed_upstream) {
  if (delivered_tokens() > first_token_) {
    holders_.clear();
    for (const auto& stage : chain_) holders_[stage.upstream] = stage;
  }
  holders_.erase(failed_upstream);
}

ModelRequest::Actions ModelRequest::RetryWithout(
    const UpstreamName& failed_upstream, ResultCode code) {
  ++attempts_without_token_;
  may_have_run_ = may_have_run_ || MayHaveRun(code);
  if (attempts_without_token_ >= kMaxAttemptsWithoutToken ||
      attempt_ >= kMaxAttempts + suspensions_) {
    running_ = false;
    Actions actions{CancelAttempt{attempt_, failed_upstream, code, true}};
    actions.push_back(
        Fail(FailureCode(), "all attempts of the request broke").back());
    return actions;
  }
  running_ = false;
  UpdateHolders(failed_upstream);
  if (!failed_upstream.empty()) excluded_.insert(failed_upstream);
  // After repeated failures another engine may be the cause, so the next chain
  // shares no engine with the last one.
  if (attempts_without_token_ > 1) {
    excluded_.clear();
    for (const auto& stage : chain_) excluded_.insert(stage.upstream);
  }
  return {CancelAttempt{attempt_, failed_upstream, code, false},
          MakeChainRequest()};
}

ModelRequest::Actions ModelRequest::Fail(ResultCode code, std::string message) {
  Actions actions;
  if (running_) {
    actions.emplace_back(CancelAttempt{attempt_, {}, code, true});
  }
  finished_ = true;
  running_ = false;
  actions.emplace_back(
      FailAnswer{code, std::move(message), delivered_tokens()});
  return actions;
}

}  // namespace wisteriayoke
