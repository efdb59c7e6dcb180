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

namespace wisteriayoke {

/// The request was admitted.
struct ModelAdmitted {};

/// A chain was chosen after `RequestChain`.
struct ChainChosen {
  Chain chain;
};

/// No chain can serve the request now.
struct ChainUnavailable {};

/// An engine sent a token.
struct TokenArrived {
  AttemptNumber attempt = 0;
  TokenIndex index = 0;
  std::string text;
  std::vector<LayerRange> passed;  ///< Layers that the token went through.
};

/// An engine said that the answer is complete.
struct StreamEnded {
  AttemptNumber attempt = 0;
  std::string finish_reason;
};

/// An attempt broke; `culprit` is the engine that failed, if known.
struct AttemptBroke {
  AttemptNumber attempt = 0;
  UpstreamName culprit;
  ResultCode code = ResultCode::kConnectionBroken;
};

/// The caller closed its connection.
struct CallerLeft {};

/// The request's deadline passed.
struct DeadlinePassed {};

using ModelRequestEvent =
    std::variant<ModelAdmitted, ChainChosen, ChainUnavailable, TokenArrived,
                 StreamEnded, AttemptBroke, CallerLeft, DeadlinePassed>;

/// Choose a chain that avoids `excluded`.
struct RequestChain {
  std::set<UpstreamName> excluded;
};

/// Send the request to the chain, to go on at token `first_token`.
struct StartAttempt {
  AttemptNumber attempt = 0;
  Chain chain;
  TokenIndex first_token = 0;
  std::vector<std::string> prefix;  ///< Tokens already delivered.
};

/// Stop the attempt's work at its engines.
struct CancelAttempt {
  AttemptNumber attempt = 0;
};

/// Send the token to the caller.
struct DeliverToken {
  TokenIndex index = 0;
  std::string text;
};

/// Tell the caller that the answer is whole.
struct CompleteAnswer {
  std::string finish_reason;
};

/// Tell the caller that there is no whole answer. Nothing was delivered if
/// `delivered_tokens` is 0.
struct FailAnswer {
  ResultCode code = ResultCode::kOk;
  std::string message;
  TokenIndex delivered_tokens = 0;
};

using ModelRequestAction =
    std::variant<RequestChain, StartAttempt, CancelAttempt, DeliverToken,
                 CompleteAnswer, FailAnswer>;

/// Decides the course of one request to a model.
///
/// Delivers each token index once and in order, only if the token passed every
/// layer once and in order; resumes on another chain after a failure.
class ModelRequest {
 public:
  /// Serves a model of `layer_count` layers.
  explicit ModelRequest(std::uint32_t layer_count)
      : layer_count_(layer_count) {}

  /// Handles one event and returns what to do, in order. Events after the end
  /// and events of earlier attempts have no effect.
  std::vector<ModelRequestAction> Handle(const ModelRequestEvent& event);

  bool finished() const { return finished_; }
  TokenIndex delivered_tokens() const {
    return static_cast<TokenIndex>(delivered_.size());
  }

 private:
  using Actions = std::vector<ModelRequestAction>;

  Actions HandleChain(const ChainChosen& event);
  Actions HandleToken(const TokenArrived& event);
  Actions HandleEnd(const StreamEnded& event);
  Actions HandleBreak(const AttemptBroke& event);
  Actions RetryWithout(const UpstreamName& culprit, ResultCode code);
  Actions Fail(ResultCode code, std::string message);
  bool IsCurrent(AttemptNumber attempt) const {
    return running_ && attempt == attempt_;
  }

  std::uint32_t layer_count_;
  AttemptNumber attempt_ = 0;
  bool running_ = false;
  bool finished_ = false;
  std::vector<std::string> delivered_;
  std::set<UpstreamName> excluded_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_MODEL_REQUEST_H_
