#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RUNNING_ATTEMPT_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RUNNING_ATTEMPT_H_

#include <memory>
#include <string>
#include <utility>

#include "platform/relay_fields.h"
#include "runtime/http_client_call.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/relay_target.h"

namespace wisteriayoke {

/// How the end of an attempt is recorded for its upstreams.
enum class UpstreamFeedback { kGood, kPoor, kNone };

/// The attempt of a request that is under way: its target, its call, and the
/// load that it puts on its upstreams. Ends with `End`.
class RunningAttempt {
 public:
  RunningAttempt(DaemonContext context, RelayTarget target);

  void set_call(std::shared_ptr<HttpClientCall> call) {
    call_ = std::move(call);
  }

  const RelayTarget& target() const { return target_; }
  TimePoint sent_at() const { return sent_at_; }
  bool on_chain() const { return !target_.chain.empty(); }

  /// Returns whether `upstream` is a stage of the attempt's chain.
  bool RunsOn(const UpstreamName& upstream) const;

  /// Returns the stage that the answer names as failed, or the upstream that
  /// answered if it names none.
  UpstreamName FindFailedUpstream(const AnswerFields& fields) const;

  /// Records what the answer to the send `attempt_id` tells of the upstream:
  /// that it is leaving, or asks this daemon for no work. Then the stage that
  /// the answer names as failed is spared as well.
  void RecordSigns(const AnswerFields& fields, const std::string& attempt_id);

  void Pause();
  void Resume();

  /// Records that the answer has begun. Returns whether that is new.
  bool BeginAnswer();

  /// Ends the call and frees the upstreams. A poor answer counts as one that
  /// took `poor_time`.
  void End(UpstreamFeedback feedback, Duration poor_time);

 private:
  void EndPrefill();
  void Release(const UpstreamName& upstream, UpstreamFeedback feedback,
               Duration poor_time);

  DaemonContext context_;
  RelayTarget target_;
  std::shared_ptr<HttpClientCall> call_;
  TimePoint sent_at_;
  bool prefilling_ = true;  ///< Whether the prompt may still be in prefill.
  bool answer_begun_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RUNNING_ATTEMPT_H_
