#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RUNNING_ATTEMPT_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RUNNING_ATTEMPT_H_

#include <memory>
#include <string>
#include <utility>

#include "platform/relay_fields.h"
#include "runtime/http_client_call.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/relay/relay_target.h"
#include "supervisor/relay/relayed_request.h"

namespace wisteriayoke {

/// How the end of an attempt is recorded for its upstreams.
enum class UpstreamFeedback { kGood, kPoor, kNone };

/// The attempt of a request that is under way: its target, its call, and the
/// load that it puts on its upstreams. Ends with `End`.
class RunningAttempt {
 public:
  /// `request` must outlive the attempt.
  RunningAttempt(DaemonContext context, RelayTarget target,
                 RelayedRequest& request);

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

  /// Records that `events` more events of the answer have arrived, so that it
  /// has begun. Returns whether that is new.
  bool RecordEvents(std::size_t events);

  /// Ends the call and frees the upstreams. A poor answer counts as one that
  /// took `poor_time`.
  void End(UpstreamFeedback feedback, Duration poor_time);

 private:
  void EndPrefill();
  void AddWork();
  void UpdateWork();
  void RemoveWork();
  void LearnCost();
  void Release(const UpstreamName& upstream, UpstreamFeedback feedback,
               Duration poor_time);

  DaemonContext context_;
  RelayTarget target_;
  RelayedRequest& request_;
  const RelayPool* pool_;        ///< Null unless it is routed by cost.
  WorkAmount work_;              ///< Per layer, as it counts for the upstreams.
  double expected_output_ = 0;   ///< When it was sent.
  double work_known_until_ = 0;  ///< Events after which work is estimated anew.
  std::shared_ptr<HttpClientCall> call_;
  TimePoint sent_at_;
  bool prefilling_ = true;  ///< Whether the prompt may still be in prefill.
  bool answer_begun_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RUNNING_ATTEMPT_H_
