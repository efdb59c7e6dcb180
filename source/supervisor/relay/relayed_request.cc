#include "supervisor/relay/relayed_request.h"

#include "wire/digest.h"

namespace wisteriayoke {
namespace {

/// Part of the latency objective, in thousandths, that an attempt may be
/// silent.
constexpr int kStallTimeoutPerMille = 600;

}  // namespace

Duration RelayedRequest::StallTimeout() const {
  return route.latency_objective * kStallTimeoutPerMille / 1000;
}

std::string ComputeFingerprint(const RelayedRequest& relayed) {
  const HttpRequest& request = relayed.request;
  return ComputeDigest(request.method + "\n" + relayed.fields.host + "\n" +
                       request.target + "\n" + relayed.workspace.text() + "\n" +
                       request.body);
}

HttpRequest BuildAttempt(const RelayedRequest& relayed,
                         const RelayTarget& target, Duration time_left,
                         std::optional<std::uint64_t> last_event_id) {
  AttemptFields fields{.upstream = target.upstream,
                       .workspace = relayed.workspace,
                       .time_left = time_left,
                       .chain = target.chain};
  if (last_event_id) fields.last_event_id = std::to_string(*last_event_id);
  if (relayed.rank) fields.urgency = relayed.rank->urgency();
  const HttpRequest& request = relayed.request;
  return {.method = request.method,
          .target = request.target,
          .fields = BuildAttemptFields(request.fields, fields),
          .body = request.body,
          .keep_alive = request.keep_alive};
}

}  // namespace wisteriayoke
