#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/overloaded.h"
#include "decisions/model_request.h"

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kLayers = 4;
constexpr std::uint32_t kMaxTokens = 6;
constexpr AttemptNumber kAttemptBound = 16;

/// What engines, the network or the caller do next.
enum class Step {
  kRightToken,
  kSkippedToken,
  kRepeatedToken,
  kTokenOfEarlierAttempt,
  kTokenOfLaterAttempt,
  kTokenWithMissingLayers,
  kTokenWithCrossedLayers,
  kTokenWithDoubledLayers,
  kRightEnd,
  kStopEnd,
  kEarlyLengthEnd,
  kEndWithWrongCount,
  kEndOfEarlierAttempt,
  kFirstStageBreaks,
  kSecondStageBreaks,
  kSilence,
  kRefusal,
  kDeadline,
  kCallerLeaves,
  kLast = kCallerLeaves,
};

std::string TrueText(TokenIndex index) { return "t" + std::to_string(index); }

/// Drives one decider as a session and its engines would, and records what the
/// caller received and the engines cached.
class Model {
 public:
  explicit Model(std::vector<std::uint8_t> chains)
      : chain_choices_(std::move(chains)) {
    Feed(ModelAdmitted{});
  }

  void Apply(Step step) {
    const auto index = static_cast<TokenIndex>(received_.size());
    const std::vector<LayerRange> all_layers{{0, 2}, {2, 4}};
    const auto token = [&](AttemptNumber attempt, TokenIndex at,
                           std::vector<LayerRange> passed) {
      const std::string text = attempt == attempt_ ? TrueText(at) : "crossed";
      Feed(TokenArrived{attempt, at, text, std::move(passed), {}});
    };
    switch (step) {
      case Step::kRightToken:
        return token(attempt_, index, all_layers);
      case Step::kSkippedToken:
        return token(attempt_, index + 1, all_layers);
      case Step::kRepeatedToken:
        return token(attempt_, index == 0 ? 1 : index - 1, all_layers);
      case Step::kTokenOfEarlierAttempt:
        return token(attempt_ - 1, index, all_layers);
      case Step::kTokenOfLaterAttempt:
        return token(attempt_ + 1, index, all_layers);
      case Step::kTokenWithMissingLayers:
        return token(attempt_, index, {{0, 2}, {2, 3}});
      case Step::kTokenWithCrossedLayers:
        return token(attempt_, index, {{2, 4}, {0, 2}});
      case Step::kTokenWithDoubledLayers:
        return token(attempt_, index, {{0, 2}, {0, 2}, {2, 4}});
      case Step::kRightEnd:
        if (index != kMaxTokens) return;
        return Feed(StreamEnded{attempt_, "length", index});
      case Step::kStopEnd:
        stopped_ = stopped_ || !finished_;
        return Feed(StreamEnded{attempt_, "stop", index});
      case Step::kEarlyLengthEnd:
        if (index == kMaxTokens) return;
        return Feed(StreamEnded{attempt_, "length", index});
      case Step::kEndWithWrongCount:
        return Feed(StreamEnded{attempt_, "stop", index + 1});
      case Step::kEndOfEarlierAttempt:
        return Feed(StreamEnded{attempt_ - 1, "stop", index});
      case Step::kFirstStageBreaks:
        return Break(0, ResultCode::kConnectionBroken);
      case Step::kSecondStageBreaks:
        return Break(1, ResultCode::kUpstreamFailed);
      case Step::kSilence:
        return Feed(AttemptBroke{attempt_, {}, ResultCode::kTimedOut});
      case Step::kRefusal:
        return Break(0, ResultCode::kUpstreamRefused);
      case Step::kDeadline:
        return Feed(DeadlinePassed{});
      case Step::kCallerLeaves:
        return Feed(CallerDisconnected{});
    }
  }

  void RecordRun() { ran_ = true; }
  bool finished() const { return finished_; }

 private:
  void Break(std::size_t stage, ResultCode code) {
    Feed(AttemptBroke{attempt_, chain_[stage].upstream, code});
  }

  /// Chains two of four engines: "a" or "b", then "c" or "d".
  Chain NextChain() {
    const std::uint8_t choice =
        chain_choices_.empty()
            ? 0
            : chain_choices_[attempt_ % chain_choices_.size()];
    const std::string first = (choice & 1) != 0 ? "a" : "b";
    const std::string second = (choice & 2) != 0 ? "c" : "d";
    return {{UpstreamName(first), {first, 1}, {0, 2}},
            {UpstreamName(second), {second, 1}, {2, 4}}};
  }

  void Feed(const ModelRequestEvent& event) {
    const bool was_finished = finished_;
    const auto actions = decider_.Handle(event);
    if (was_finished) RC_ASSERT(actions.empty());
    for (const auto& action : actions) {
      std::visit([this](const auto& each) { Check(each); }, action);
    }
    RC_ASSERT(decider_.finished() == finished_);
  }

  void Check(const RequestChain& /*action*/) {
    RC_ASSERT(!running_);
    Feed(ChainChosen{NextChain()});
  }

  void Check(const WaitForChain& /*action*/) { Feed(ChainWaitOver{}); }

  void Check(const StartAttempt& action) {
    RC_ASSERT(!running_);
    RC_ASSERT(action.attempt == attempt_ + 1);
    RC_ASSERT(action.attempt <= kAttemptBound);
    RC_ASSERT(action.prefix == received_);
    RC_ASSERT(action.first_token == received_.size());
    CheckKv(action);
    running_ = true;
    attempt_ = action.attempt;
    chain_ = action.chain;
  }

  /// A KV cache may come only from an engine that ran every token before. A
  /// stage that recomputes requires that the stages before it do so as well.
  void CheckKv(const StartAttempt& action) {
    RC_ASSERT(action.kv.size() == action.chain.size());
    bool recomputed_later = false;
    for (std::size_t i = action.chain.size(); i-- > 0;) {
      const KvSource& source = action.kv[i];
      const std::string from = source.origin == KvOrigin::kHeld
                                   ? action.chain[i].upstream.text()
                                   : source.from.host;
      if (source.origin == KvOrigin::kRecompute) {
        recomputed_later = true;
        continue;
      }
      RC_ASSERT(!recomputed_later);
      RC_ASSERT(cached_[from] == received_.size());
    }
  }

  void Check(const CancelAttempt& action) {
    RC_ASSERT(running_);
    RC_ASSERT(action.attempt == attempt_);
    running_ = false;
    cached_.erase(action.failed_upstream.text());
  }

  void Check(const DeliverToken& action) {
    RC_ASSERT(running_);
    RC_ASSERT(action.index == received_.size());
    RC_ASSERT(action.text == TrueText(action.index));
    received_.push_back(action.text);
    for (const auto& stage : chain_) {
      cached_[stage.upstream.text()] = received_.size();
    }
  }

  void Check(const CompleteAnswer& /*action*/) {
    RC_ASSERT(received_.size() == kMaxTokens || stopped_);
    finished_ = true;
    running_ = false;
  }

  void Check(const FailAnswer& action) {
    RC_ASSERT(action.delivered_tokens == received_.size());
    RC_ASSERT(!running_);
    if (ran_) {
      RC_ASSERT(DescribeResultCode(action.code).outcome != Outcome::kNotRun);
    }
    finished_ = true;
  }

  ModelRequest decider_{{kLayers, kMaxTokens}};
  std::vector<std::uint8_t> chain_choices_;
  std::vector<std::string> received_;
  std::map<std::string, std::size_t> cached_;
  Chain chain_;
  AttemptNumber attempt_ = 0;
  bool running_ = false;
  bool finished_ = false;
  bool stopped_ = false;
  bool ran_ = false;
};

/// Generates right tokens most often, so that late failures occur as well.
rc::Gen<Step> AnyStep() {
  return rc::gen::weightedOneOf<Step>(
      {{3, rc::gen::just(Step::kRightToken)},
       {2, rc::gen::map(rc::gen::inRange(0, static_cast<int>(Step::kLast) + 1),
                        [](int step) { return static_cast<Step>(step); })}});
}

bool RunsEngine(Step step) {
  return step != Step::kRefusal && step != Step::kDeadline &&
         step != Step::kCallerLeaves && step != Step::kTokenOfEarlierAttempt &&
         step != Step::kTokenOfLaterAttempt && step != Step::kRightEnd &&
         step != Step::kStopEnd && step != Step::kEndOfEarlierAttempt &&
         step != Step::kEarlyLengthEnd && step != Step::kEndWithWrongCount;
}

}  // namespace

TEST_CASE("a caller gets a prefix of the true answer, ended only if complete") {
  const bool held = rc::check([] {
    const auto chains =
        *rc::gen::arbitrary<std::vector<std::uint8_t>>().as("chains");
    const auto steps =
        *rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(AnyStep()))
             .as("steps");
    Model model(chains);
    for (const Step step : steps) {
      if (RunsEngine(step)) model.RecordRun();
      model.Apply(step);
    }
  });
  CHECK(held);
}

TEST_CASE("an answer completes although engines fail occasionally") {
  const bool held = rc::check([] {
    const auto faults = *rc::gen::container<std::vector<Step>>(
        kMaxTokens,
        rc::gen::element(Step::kFirstStageBreaks, Step::kSecondStageBreaks,
                         Step::kSilence, Step::kSkippedToken,
                         Step::kRepeatedToken, Step::kTokenWithMissingLayers,
                         Step::kEarlyLengthEnd));
    Model model({0, 1, 2, 3});
    for (const Step fault : faults) {
      model.Apply(fault);
      model.Apply(Step::kRightToken);
    }
    model.Apply(Step::kRightEnd);
    RC_ASSERT(model.finished());
  });
  CHECK(held);
}

}  // namespace wisteriayoke
