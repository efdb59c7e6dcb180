#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_SESSION_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/relay_request_decider.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/suspect_guard.h"
#include "supervisor/relay/attempt_answer.h"
#include "supervisor/relay/path_search.h"
#include "supervisor/relay/relayed_request.h"
#include "supervisor/relay/running_attempt.h"
#include "supervisor/relay/segment_guard.h"
#include "supervisor/relay/stall_detector.h"
#include "supervisor/relay/stream_times.h"

namespace wisteriayoke {

/// Called with upstreams that may stall an attempt; polls them, and returns
/// those that already leave a poll unanswered. Sessions are notified later of
/// those that don't answer or have failed.
using StallHandler =
    std::function<std::vector<UpstreamName>(const std::vector<UpstreamName>&)>;

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

  /// Handles that `upstream` is dead: an attempt that runs on it is lost.
  void HandleUpstreamDown(const UpstreamName& upstream);

  /// Handles that `upstream` is reported to stall the work that depends on it.
  void HandleUpstreamStalls(const UpstreamName& upstream);

  bool ended() const { return ended_; }

  const PoolName& pool() const { return request_.pool; }

  /// Whether it is a started stream that waits for a path.
  bool WaitsToResume() const { return !ended_ && waiting_ && times_.begun(); }

  /// Ticket of a request that waits in a ranked queue.
  std::optional<PlaceTicket> FindTicket() const;

  /// Searches a place for a request whose turn it is. Returns whether others
  /// may search after it: unless it found that there is none.
  bool TakeTurn();

 private:
  RetryBudget& Budget() const;
  Duration TimeLeft() const;
  bool HasStaleKey() const;

  void StartAttempt();
  void HandleTargetUnavailable(ResultCode code);
  void StopWaiting();
  void Send(const RelayTarget& target);
  void HandleCall(CallEvent event);
  void HandleHead(const CallHead& event);
  void HandleBodyData(const CallBodyData& body);
  void HandleEnd();
  void HandleFailure(const CallFailure& failure);
  void ForwardEvents(std::string_view data);
  void Forward(std::string_view data);
  void PauseIfCallerIsSlow();
  void FinishStream();
  void FinishResponse();

  bool RunsOn(const UpstreamName& upstream) const;
  void CheckStream();
  void RecordProgress();
  void LeaveUnresponsive(const std::vector<UpstreamName>& upstreams);
  void LeaveStalledAttempt(ResultCode code,
                           const std::vector<UpstreamName>& others);
  void LoseAttempt(ResultCode code, bool upstream_dead);
  void RecordCrash(const UpstreamName& upstream);
  void RejectAttempt(ResultCode code, const UpstreamName& failed_upstream);
  void EndAttempt(UpstreamFeedback feedback);
  void Feed(const RelayRequestEvent& event);
  void Execute(const RetryElsewhere& action);
  void Execute(const KeepAttempt& action);
  void Execute(const RetryLater& action);
  void Execute(const ForwardAnswer& action);
  void Execute(const RefuseNotRun& action);
  void Execute(const FailOutcomeUnknown& action);
  void Execute(const AbortAnswer& action);
  void RespondWithError(ResultCode code, Duration retry_after);
  void HandleCallerLeft();
  void End(ResultCode code);
  void Record(LogLevel level, EventKind kind, ResultCode code) const;

  DaemonContext context_;
  RelayedRequest request_;
  StallHandler on_stall_;
  RelayRequestDecider decider_;
  SuspectGuard guard_;
  SegmentGuard segment_guard_;
  TimePoint arrived_;
  Duration timeout_;
  PathSearch search_;
  std::optional<RunningAttempt> attempt_;  ///< Empty between attempts.
  std::optional<AttemptAnswer> answer_;    ///< Once its head has arrived.
  ResultCode end_code_ = ResultCode::kOk;  ///< Why the last attempt ended.
  /// Last event that the caller has.
  std::optional<std::uint64_t> last_event_id_;
  StreamTimes times_;
  /// Whether the request waits for a path: a started stream for one to go on
  /// with, another request for its first place.
  bool waiting_ = false;
  bool paused_ = false;  ///< Whether the attempt is paused for a slow caller.
  StallDetector stall_;  ///< Silence of the attempt.
  bool keep_recorded_ = false;  ///< Whether it is logged that it is kept.
  std::string path_;            ///< Upstreams of the last attempt, for logs.
  unsigned attempts_ = 0;
  LoopTimerPtr timeout_timer_;
  bool ended_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_SESSION_H_
