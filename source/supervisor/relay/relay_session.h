#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_SESSION_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/relay_request_decider.h"
#include "platform/relay_fields.h"
#include "runtime/http_client_call.h"
#include "runtime/http_server_session.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/suspect_guard.h"
#include "supervisor/relay/relay_target.h"
#include "wire/event_splitter.h"

namespace wisteriayoke {

/// One request that the front end accepted.
struct RelayedRequest {
  RelayTablesPtr tables;
  RelayRoute route;
  PoolName pool;
  WorkspaceName workspace;  ///< Empty on routes without keys.
  CallerFields fields;
  HttpRequest request;
  std::shared_ptr<HttpServerSession> caller;
};

/// Called with upstreams that may stall an attempt; polls them and notifies the
/// sessions on those that don't answer or have failed.
using StallHandler = std::function<void(const std::vector<UpstreamName>&)>;

/// Relays one request from its arrival to the end of its answer, over as many
/// attempts as its decider allows. It keeps itself alive until then.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
 public:
  RelaySession(DaemonContext context, RelayedRequest request,
               StallHandler on_stall);

  void Start();

  /// Checks whether the attempt makes progress; called periodically. Gives up,
  /// moves or reports an attempt that has been silent for too long.
  void CheckProgress();

  /// Handles that `upstream` left a poll unanswered: a stalled stream goes on
  /// without it, if there is another path.
  void HandleUnresponsive(const UpstreamName& upstream);

  /// Handles that `upstream` is dead or unreachable: an attempt that runs on it
  /// is lost.
  void HandleUpstreamDown(const UpstreamName& upstream);

  bool ended() const { return ended_; }

 private:
  bool is_stream() const {
    return request_.route.kind == RelayKind::kStreaming;
  }
  RetryBudget& Budget();
  Duration TimeLeft() const;

  PlaceQueue& Places();
  void StartAttempt();
  void HandleTargetUnavailable(ResultCode code);
  bool MayWait(ResultCode code);
  void StopWaiting();
  Duration ComputeReturnTime(ResultCode code);
  void Send(const RelayTarget& target);
  HttpRequest BuildAttempt(const RelayTarget& target) const;
  void HandleCall(CallEvent event);
  void HandleHead(const CallHead& event);
  void RecordHoldOff(const AnswerFields& fields);
  void HandleBodyData(const CallBodyData& body);
  void HandleEnd();
  void HandleFailure(const CallFailure& failure);
  void ForwardEvents(std::vector<StreamEvent> events);
  void Forward(std::string_view data);
  void PauseIfCallerIsSlow();
  void FinishStream();
  void FinishResponse();

  /// Returns the upstreams that failed this request or may have stalled it.
  std::set<UpstreamName> ListAvoided() const;
  TargetChoice Choose(const RelayPool& pool) const;
  Duration StallThreshold() const;
  bool RunsOn(const UpstreamName& upstream) const;
  void TryReroute();
  void LoseAttempt(ResultCode code, bool upstream_dead);
  UpstreamName FindFailedUpstream(const AnswerFields& fields) const;
  void RejectAttempt(ResultCode code, const UpstreamName& failed_upstream);
  /// How the end of an attempt is recorded for its upstreams.
  enum class UpstreamFeedback { kGood, kPoor, kNone };

  void EndAttempt(UpstreamFeedback feedback);
  void EndPrefill();
  void Release(const UpstreamName& upstream, UpstreamFeedback feedback);
  void Feed(const RelayRequestEvent& event);
  void Execute(const RetryElsewhere& action);
  void Execute(const ForwardAnswer& action);
  void Execute(const RefuseNotRun& action);
  void Execute(const FailOutcomeUnknown& action);
  void Execute(const AbortAnswer& action);
  void RespondWithError(ResultCode code, Duration retry_after);
  void HandleCallerLeft();
  void End(ResultCode code);
  /// Returns whether the answer was later than the route's objective.
  bool IsLate() const;
  void Record(LogLevel level, EventKind kind, ResultCode code) const;

  DaemonContext context_;
  RelayedRequest request_;
  StallHandler on_stall_;
  RelayRequestDecider decider_;
  SuspectGuard guard_;
  TimePoint arrived_;
  Duration timeout_{};
  /// Upstreams that failed this request.
  std::set<UpstreamName> failed_;
  /// Upstreams that may have stalled this request.
  std::set<UpstreamName> stalled_;
  /// Target of the current attempt; empty between attempts.
  std::optional<RelayTarget> target_;
  /// Whether the attempt's prompt may still be in prefill.
  bool prefilling_ = false;
  std::shared_ptr<HttpClientCall> call_;
  HttpResponseHead head_;      ///< Head of the attempt's answer.
  std::optional<int> status_;  ///< Status of that answer, once it has arrived.
  ResultCode end_code_ = ResultCode::kOk;  ///< Why the last attempt ended.
  /// Whether the answer is a stream with a successful status.
  bool event_stream_ = false;
  std::string body_;  ///< Body of an answer that isn't a stream.
  EventSplitter splitter_;
  /// Last event that the caller has.
  std::optional<std::uint64_t> last_event_id_;
  bool delivering_ = false;  ///< Whether the caller has a part of the answer.
  /// Whether the request waits for a path: a started stream for one to go on
  /// with, another request for its first place.
  bool waiting_ = false;
  TimePoint searched_at_;  ///< When it last searched for a path.
  bool queued_ = false;    ///< Whether it is counted in the pool's queue.
  bool paused_ = false;    ///< Whether the attempt is paused for a slow caller.
  TimePoint sent_at_;      ///< When the attempt was sent.
  TimePoint last_progress_;  ///< When the attempt last made progress.
  std::optional<TimePoint> stall_reported_at_;
  /// Time from the arrival to the first event.
  std::optional<Duration> first_event_after_;
  TimePoint delivered_at_;  ///< When the caller got its last event.
  /// Longest time between two events for the caller.
  Duration longest_gap_{};
  Duration gap_sum_{};  ///< Sum of the times between events.
  int gap_count_ = 0;
  std::string path_;  ///< Upstreams of the last attempt, for logs.
  unsigned attempts_ = 0;
  LoopTimerPtr timeout_timer_;
  bool ended_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_SESSION_H_
