#ifndef WISTERIAYOKE_DECISIONS_RELAY_REQUEST_DECIDER_H_
#define WISTERIAYOKE_DECISIONS_RELAY_REQUEST_DECIDER_H_

#include <cstdint>
#include <variant>

#include "base/names_table.h"
#include "base/result_code.h"
#include "decisions/retry_budget.h"

namespace wisteriayoke {

/// No upstream can take the request now.
struct NoTarget {
  ResultCode code = ResultCode::kNoUpstream;
};

/// The attempt ended and has certainly not run: no byte of it was sent, or the
/// upstream said so.
struct AttemptRejected {
  ResultCode code = ResultCode::kUpstreamRefused;
};

/// The attempt ended without a whole answer and may have run.
struct AttemptLost {
  ResultCode code = ResultCode::kUpstreamFailed;
  bool upstream_gone = false;  ///< Whether the upstream itself is known dead.
};

/// The upstream ran the request and answered that it failed.
struct AttemptFailed {};

/// The caller's time is over.
struct TimeLimitPassed {};

/// The daemon's stop cuts what hasn't ended.
struct StopDeadlinePassed {};

using RelayRequestEvent =
    std::variant<NoTarget, AttemptRejected, AttemptLost, AttemptFailed,
                 TimeLimitPassed, StopDeadlinePassed>;

/// Returns why an attempt ended, or why there was none.
ResultCode CodeOf(const RelayRequestEvent& event);

/// Choose another upstream and send the request there.
struct SendAgain {};

/// Pass the upstream's answer on as it is.
struct ForwardAnswer {};

/// Answer that the request has not run and never will.
struct RefuseNotRun {
  ResultCode code = ResultCode::kOk;
};

/// Answer that the request failed and may have run.
struct FailOutcomeUnknown {
  ResultCode code = ResultCode::kOk;
};

/// End the answer that was begun so that it can't be taken for whole.
struct AbortAnswer {
  ResultCode code = ResultCode::kOk;
};

using RelayRequestAction = std::variant<SendAgain, ForwardAnswer, RefuseNotRun,
                                        FailOutcomeUnknown, AbortAnswer>;

/// What the route allows.
struct RelayRequestRules {
  bool repeatable = false;         ///< Whether it may run more than once.
  std::uint32_t max_attempts = 1;  ///< Upstreams that may run it.
};

/// Decides what follows when an attempt at a relayed request ends badly.
///
/// A refusal is only given if no attempt may have run; a request that isn't
/// repeatable is sent again only if the attempts before have certainly not run.
class RelayRequestDecider {
 public:
  /// Most attempts that upstreams may reject before the caller is told, so that
  /// a caller is refused early when all upstreams are full.
  static constexpr std::uint32_t kMostRejections = 2;
  /// Most runs that are lost with their upstreams and don't count.
  static constexpr std::uint32_t kMostGone = 2;

  explicit RelayRequestDecider(RelayRequestRules rules) : rules_(rules) {}

  /// Notes that an attempt is under way.
  void RecordSent() { under_way_ = true; }

  /// Notes that a part of the answer was delivered to the caller.
  void RecordDelivery() { delivering_ = true; }

  /// Handles the end of an attempt, or of the time, and returns what to do. A
  /// repetition is charged to `budget`.
  RelayRequestAction Handle(const RelayRequestEvent& event,
                            RetryBudget& budget);

  bool may_have_run() const { return under_way_ || runs_ + gone_ > 0; }

 private:
  RelayRequestAction HandleRejection(const AttemptRejected& event,
                                     RetryBudget& budget);
  RelayRequestAction HandleLoss(const AttemptLost& event, RetryBudget& budget);
  RelayRequestAction HandleFailure(RetryBudget& budget);
  RelayRequestAction HandleStop() const;
  RelayRequestAction End(ResultCode code) const;

  RelayRequestRules rules_;
  bool under_way_ = false;
  bool delivering_ = false;
  std::uint32_t runs_ = 0;
  std::uint32_t gone_ = 0;  ///< Runs lost with their upstreams.
  std::uint32_t rejections_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RELAY_REQUEST_DECIDER_H_
