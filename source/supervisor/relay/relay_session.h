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

/// Asks whether upstreams are in trouble; sessions that they hold up are told.
using DoubtHandler = std::function<void(const std::vector<UpstreamName>&)>;

/// Carries one relayed request from its arrival to the end of its answer, over
/// as many attempts as its course allows. It keeps itself alive until then.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
 public:
  RelaySession(DaemonContext context, RelayedRequest request,
               DoubtHandler on_doubt);

  void Start();

  /// Looks whether the attempt makes progress; fed several times a second.
  void CheckProgress();

  /// Takes in that `upstream` has left a question open; a stream that is silent
  /// at the same time goes on without it.
  void HandleQuiet(const UpstreamName& upstream);

  /// Takes in that `upstream` is dead or cut off.
  void HandleSuspect(const UpstreamName& upstream);

  bool ended() const { return ended_; }

 private:
  bool is_stream() const {
    return request_.route.kind == RelayKind::kStreaming;
  }
  RetryBudget& Budget();
  Duration TimeLeft() const;

  void StartAttempt();
  void HandleNoTarget(ResultCode code);
  void Send(const RelayTarget& target);
  HttpRequest BuildAttempt(const RelayTarget& target) const;
  void HandleCall(CallEvent event);
  void HandleHead(const CallHead& event);
  void HandleBodyData(const CallBodyData& piece);
  void HandleEnd();
  void HandleFailure(const CallFailure& failure);
  void ForwardEvents(std::vector<StreamEvent> events);
  void Forward(std::string_view data);
  void HoldBackIfSlow();
  void FinishStream();
  void FinishWhole();

  /// Those that failed this request and those that may have held it up.
  std::set<UpstreamName> ListShunned() const;
  TargetChoice Choose(const RelayPool& pool) const;
  Duration DoubtAfter() const;
  bool RunsOn(const UpstreamName& upstream) const;
  void GiveUpAttempt();
  void LoseAttempt(ResultCode code, bool upstream_gone);
  UpstreamName FindCulprit(const AnswerFields& fields) const;
  void RejectAttempt(ResultCode code, const UpstreamName& failed_upstream);
  /// How an attempt counts for its upstreams.
  enum class AttemptVerdict { kGood, kPoor, kNone };

  void EndAttempt(AttemptVerdict verdict);
  void EndReading();
  void EndWork(const UpstreamName& upstream, AttemptVerdict verdict);
  void Decide(const RelayRequestEvent& event);
  void Carry(const SendAgain& action);
  void Carry(const ForwardAnswer& action);
  void Carry(const RefuseNotRun& action);
  void Carry(const FailOutcomeUnknown& action);
  void Carry(const AbortAnswer& action);
  void Answer(ResultCode code, Duration retry_after);
  void Leave();
  void End(ResultCode code);
  /// Tells whether the answer was later than the route wants.
  bool IsLate() const;
  void Record(LogLevel level, EventKind kind, ResultCode code) const;

  DaemonContext context_;
  RelayedRequest request_;
  DoubtHandler on_doubt_;
  RelayRequestDecider decider_;
  SuspectGuard guard_;
  TimePoint arrived_;
  Duration time_limit_{};
  std::set<UpstreamName> excluded_;    ///< Those that failed this request.
  std::set<UpstreamName> avoided_;     ///< Those that may have held it up.
  std::optional<RelayTarget> target_;  ///< Of the attempt under way.
  bool reading_ = false;  ///< Whether its prompt may still be being read.
  std::shared_ptr<HttpClientCall> call_;
  HttpResponseHead head_;      ///< Of the attempt's answer.
  std::optional<int> status_;  ///< Of that answer, once it has come.
  ResultCode end_code_ = ResultCode::kOk;  ///< Why the last attempt ended.
  bool event_stream_ = false;  ///< Whether the answer is a good stream.
  std::string body_;           ///< Of an answer that is passed on whole.
  EventSplitter splitter_;
  std::optional<std::uint64_t> last_event_;  ///< That the caller has.
  bool delivering_ = false;  ///< Whether the caller has a part of the answer.
  /// Since when a stream that was begun waits for another path.
  std::optional<TimePoint> waiting_since_;
  bool held_back_ = false;  ///< Whether a slow caller holds up the attempt.
  TimePoint sent_at_;       ///< When the attempt was sent.
  TimePoint progress_at_;   ///< When the attempt last made progress.
  std::optional<TimePoint> doubted_at_;
  std::optional<Duration> first_event_after_;  ///< Since the arrival.
  TimePoint delivered_at_;    ///< When the caller got its last event.
  Duration longest_pause_{};  ///< Between two events for the caller.
  Duration gaps_time_{};      ///< Sum of the times between events.
  int gaps_ = 0;
  std::string path_;  ///< Upstreams of the last attempt, for logs.
  unsigned attempts_ = 0;
  LoopTimerPtr time_timer_;
  bool ended_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_SESSION_H_
