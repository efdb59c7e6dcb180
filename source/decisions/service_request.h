#ifndef WISTERIAYOKE_DECISIONS_SERVICE_REQUEST_H_
#define WISTERIAYOKE_DECISIONS_SERVICE_REQUEST_H_

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "decisions/ledger_claim.h"

namespace wisteriayoke {

/// The request was admitted.
struct ServiceAdmitted {};

/// An upstream was chosen after `RequestUpstream`.
struct UpstreamChosen {
  UpstreamName upstream;
};

/// No upstream can serve the request now.
struct UpstreamUnavailable {};

/// The call ended with a whole answer from the service. `answer` is the part
/// that the ledger keeps; empty for idempotent calls.
struct CallAnswered {
  AttemptNumber attempt = 0;
  std::string answer;
};

/// The call broke. `sent` is true if any byte reached the connection.
struct CallBroke {
  AttemptNumber attempt = 0;
  bool sent = false;
  ResultCode code = ResultCode::kConnectionBroken;
};

using ServiceRequestEvent =
    std::variant<ServiceAdmitted, UpstreamChosen, UpstreamUnavailable,
                 CallAnswered, CallBroke, LedgerEvent>;

/// Choose an upstream that is not in `excluded`.
struct RequestUpstream {
  std::set<UpstreamName> excluded;
};

/// Send the call to the upstream.
struct SendCall {
  AttemptNumber attempt = 0;
  UpstreamName upstream;
};

/// Return the service's answer to the caller.
struct ReturnAnswer {};

/// Answer the caller with an error.
struct FailCall {
  ResultCode code = ResultCode::kOk;
  std::string message;
};

using ServiceRequestAction =
    std::variant<RequestUpstream, SendCall, ReturnAnswer, FailCall, ReadLedger,
                 WriteLedger, StartClaimTimer, ReplayAnswer>;

/// Decides each step of one call to a plain service.
///
/// An idempotent call is sent again to another upstream after a failure. Any
/// other call is claimed in the ledger first and sent again only if no byte of
/// it was sent and its deadline hasn't passed.
class ServiceRequest {
 public:
  /// Makes the decider of an idempotent call.
  static ServiceRequest ForIdempotent();

  /// Makes the decider of a call that runs at most once. It isn't sent at or
  /// after `send_deadline`.
  static ServiceRequest ForOnce(LedgerRequest request, LedgerLimits limits,
                                TimePoint send_deadline);

  /// Handles one event and returns the actions to perform, in order.
  std::vector<ServiceRequestAction> Handle(const ServiceRequestEvent& event,
                                           const ClockReading& now);

  bool finished() const { return finished_; }

 private:
  using Actions = std::vector<ServiceRequestAction>;

  ServiceRequest() = default;

  Actions HandleAdmitted(const ClockReading& now);
  Actions HandleChosen(const UpstreamChosen& event, const ClockReading& now);
  Actions HandleAnswer(const CallAnswered& event, const ClockReading& now);
  Actions HandleBreak(const CallBroke& event, const ClockReading& now);
  Actions FailUnsent(ResultCode code, std::string message,
                     const ClockReading& now);
  Actions ForwardToClaim(const LedgerEvent& event, const ClockReading& now);
  Actions Translate(const std::vector<LedgerAction>& actions);
  Actions Fail(ResultCode code, std::string message);

  std::optional<LedgerClaim> claim_;
  TimePoint send_deadline_;
  bool finished_ = false;
  AttemptNumber attempt_ = 0;
  UpstreamName current_;
  std::set<UpstreamName> excluded_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_SERVICE_REQUEST_H_
