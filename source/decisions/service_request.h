#ifndef WISTERIAYOKE_DECISIONS_SERVICE_REQUEST_H_
#define WISTERIAYOKE_DECISIONS_SERVICE_REQUEST_H_

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"

namespace wisteriayoke {

/// The request was admitted.
struct ServiceAdmitted {};

/// An upstream was chosen after `RequestUpstream`.
struct UpstreamChosen {
  UpstreamName upstream;
};

/// No upstream can serve the request now.
struct UpstreamUnavailable {};

/// The call ended with a whole answer from the service.
struct CallAnswered {
  AttemptNumber attempt = 0;
};

/// The call broke. `sent` tells whether any byte reached the connection.
struct CallBroke {
  AttemptNumber attempt = 0;
  bool sent = false;
  ResultCode code = ResultCode::kConnectionBroken;
};

using ServiceRequestEvent =
    std::variant<ServiceAdmitted, UpstreamChosen, UpstreamUnavailable,
                 CallAnswered, CallBroke>;

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

/// Tell the caller that there is no answer.
struct FailCall {
  ResultCode code = ResultCode::kOk;
  std::string message;
};

using ServiceRequestAction =
    std::variant<RequestUpstream, SendCall, ReturnAnswer, FailCall>;

/// Decides the course of one call to a plain service.
///
/// A call that is not idempotent is sent again only if no byte of it was sent.
class ServiceRequest {
 public:
  explicit ServiceRequest(bool idempotent) : idempotent_(idempotent) {}

  /// Handles one event and returns what to do, in order.
  std::vector<ServiceRequestAction> Handle(const ServiceRequestEvent& event);

  bool finished() const { return finished_; }

 private:
  using Actions = std::vector<ServiceRequestAction>;

  Actions HandleBreak(const CallBroke& event);
  Actions Fail(ResultCode code, std::string message);

  bool idempotent_;
  bool finished_ = false;
  AttemptNumber attempt_ = 0;
  UpstreamName current_;
  std::set<UpstreamName> excluded_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_SERVICE_REQUEST_H_
