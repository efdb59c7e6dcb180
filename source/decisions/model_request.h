#ifndef WISTERIAYOKE_DECISIONS_MODEL_REQUEST_H_
#define WISTERIAYOKE_DECISIONS_MODEL_REQUEST_H_

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "decisions/chain.h"
#include "decisions/kv_plan.h"

namespace wisteriayoke {

/// The request was admitted.
struct ModelAdmitted {};

/// A chain was chosen after `RequestChain`.
struct ChainChosen {
  Chain chain;
};

/// No chain can serve the request now.
struct ChainUnavailable {};

/// A chain exists but can't be used yet: the request must run on engines of its
/// own, which are still busy.
struct ChainPending {};

/// The delay of `WaitForChain` is over.
struct ChainWaitOver {};

/// The request must not run (again), for the reason in `code`.
struct RequestRefused {
  ResultCode code = ResultCode::kOk;
  std::string message;
};

/// An engine sent a token.
struct TokenArrived {
  AttemptNumber attempt = 0;
  TokenIndex index = 0;
  std::string text;
  std::vector<LayerRange> passed;  ///< Layers that the token passed, in order.
  std::vector<StageTiming> timings;  ///< One for each stage, or empty.
};

/// An engine reported that the answer is complete.
struct StreamEnded {
  AttemptNumber attempt = 0;
  std::string finish_reason;
  TokenIndex tokens = 0;  ///< Tokens of the whole answer.
};

/// An attempt broke; `failed_upstream` is the engine at fault, if known. `code`
/// gives the cause: kFieldInvalid is the caller's fault, kUpstreamRefused means
/// that the engine accepts no work now, all others are the engine's fault.
struct AttemptBroke {
  AttemptNumber attempt = 0;
  UpstreamName failed_upstream;
  ResultCode code = ResultCode::kConnectionBroken;
};

/// The attempt must stop, for a reason other than a failure.
struct AttemptPreempted {
  AttemptNumber attempt = 0;
};

/// The caller closed its connection.
struct CallerDisconnected {};

/// The request's deadline passed.
struct DeadlinePassed {};

/// The request's slot is needed by other work.
struct ModelSuspended {};

/// The request has a slot again after `ModelSuspended`.
struct ModelResumed {};

using ModelRequestEvent =
    std::variant<ModelSuspended, ModelResumed, ModelAdmitted, ChainChosen,
                 ChainUnavailable, ChainPending, ChainWaitOver, RequestRefused,
                 TokenArrived, StreamEnded, AttemptBroke, AttemptPreempted,
                 CallerDisconnected, DeadlinePassed>;

/// Choose a chain that avoids `excluded` and prefers `warm` engines, which hold
/// the request's KV cache.
struct RequestChain {
  std::set<UpstreamName> excluded;
  std::set<UpstreamName> warm;
};

/// Pass `ChainWaitOver` to `Handle` after `delay`.
struct WaitForChain {
  Duration delay{};
};

/// Send the request to the chain, to continue at token `first_token`.
struct StartAttempt {
  AttemptNumber attempt = 0;
  Chain chain;
  TokenIndex first_token = 0;
  std::vector<std::string> prefix;  ///< Tokens already delivered.
  std::vector<KvSource> kv;         ///< One for each stage of the chain.
};

/// Stop the attempt's work at its engines.
struct CancelAttempt {
  AttemptNumber attempt = 0;
  UpstreamName failed_upstream;  ///< The engine that broke the attempt, if any.
  ResultCode code = ResultCode::kOk;
  bool final = false;  ///< Whether engines may drop the KV cache.
};

/// Send the token to the caller.
struct DeliverToken {
  TokenIndex index = 0;
  std::string text;
};

/// End the caller's answer as complete.
struct CompleteAnswer {
  std::string finish_reason;
};

/// End the caller's answer with an error. Nothing was delivered if
/// `delivered_tokens` is 0.
struct FailAnswer {
  ResultCode code = ResultCode::kOk;
  std::string message;
  TokenIndex delivered_tokens = 0;
};

using ModelRequestAction =
    std::variant<RequestChain, WaitForChain, StartAttempt, CancelAttempt,
                 DeliverToken, CompleteAnswer, FailAnswer>;

/// Layers of the model and longest answer of a request.
struct ModelRequestSpec {
  std::uint32_t layer_count = 0;
  std::uint32_t max_tokens = 0;
};

/// Decides each step of one request to a model.
///
/// Delivers each token index once and in order, only if the token passed every
/// layer once and in order; resumes at the next token after a failure, on
/// another chain. The answer is complete only when an engine ends it
/// explicitly, with as many tokens as were delivered.
class ModelRequest {
 public:
  explicit ModelRequest(ModelRequestSpec spec) : spec_(spec) {}

  /// Handles one event and returns the actions to perform, in order. Events
  /// after the end and events of earlier attempts have no effect.
  std::vector<ModelRequestAction> Handle(const ModelRequestEvent& event);

  bool finished() const { return finished_; }
  /// Returns whether an engine may have run any part of the request.
  bool may_have_run() const { return running_ || may_have_run_; }
  TokenIndex delivered_tokens() const {
    return static_cast<TokenIndex>(delivered_.size());
  }

 private:
  using Actions = std::vector<ModelRequestAction>;

  Actions Suspend();
  Actions Resume();
  Actions HandleChain(const ChainChosen& event);
  Actions HandleUnavailable();
  Actions HandleToken(const TokenArrived& event);
  Actions HandleEnd(const StreamEnded& event);
  Actions HandleBreak(const AttemptBroke& event);
  Actions HandlePreempted(const AttemptPreempted& event);
  Actions RetryWithout(const UpstreamName& failed_upstream, ResultCode code);
  Actions Deliver(const TokenArrived& event);
  Actions Fail(ResultCode code, std::string message);
  RequestChain MakeChainRequest() const;
  void UpdateHolders(const UpstreamName& failed_upstream);
  ResultCode FailureCode() const;
  bool IsCompleteEnd(const StreamEnded& event) const;
  UpstreamName FindFaultyUpstream(const std::vector<LayerRange>& passed) const;
  bool IsCurrent(AttemptNumber attempt) const {
    return running_ && attempt == attempt_;
  }

  ModelRequestSpec spec_;
  AttemptNumber attempt_ = 0;
  AttemptNumber attempts_without_token_ = 0;
  AttemptNumber suspensions_ = 0;
  std::uint32_t chain_waits_ = 0;
  bool suspended_ = false;
  bool running_ = false;
  bool finished_ = false;
  bool may_have_run_ = false;
  Chain chain_;
  TokenIndex first_token_ = 0;
  std::vector<std::string> delivered_;
  std::set<UpstreamName> excluded_;
  KvHolders holders_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MODEL_REQUEST_H_
