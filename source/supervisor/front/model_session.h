#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_MODEL_SESSION_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_MODEL_SESSION_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "decisions/model_request.h"
#include "runtime/http_client_call.h"
#include "runtime/http_server_session.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/request_timer.h"
#include "supervisor/context/suspect_guard.h"
#include "supervisor/front/admission_ticket.h"
#include "supervisor/front/completion_writer.h"
#include "wire/completion_codec.h"
#include "wire/engine_codec.h"

namespace wisteriayoke {

/// Executes the decisions of one `ModelRequest`: calls the engines and answers
/// the caller. It keeps itself alive through the caller's session and the calls
/// in progress.
class ModelSession : public std::enable_shared_from_this<ModelSession> {
 public:
  /// Serves `request` under `tables`, from the pool of `route`. Requests with
  /// the same content have the same `fingerprint`.
  ModelSession(DaemonContext context, TableSetPtr tables, const Route& route,
               RequestId id, std::string fingerprint, CompletionRequest request,
               std::shared_ptr<HttpServerSession> caller,
               AdmissionTicketPtr ticket);

  void Start();

 private:
  void Feed(const ModelRequestEvent& event);
  void ChooseAndFeedChain(const RequestChain& request);
  std::optional<Chain> Choose(const RequestChain& request,
                              const std::set<UpstreamName>& avoided,
                              bool idle_only) const;
  void StartCall(const StartAttempt& action);
  bool MayStartAttempt();
  void WaitForChainAgain(const WaitForChain& action);
  void CancelCall(const CancelAttempt& action);
  void CancelOrCheckEngines(const CancelAttempt& action);
  void SendToken(const DeliverToken& action);
  void Complete(const CompleteAnswer& action);
  void Fail(const FailAnswer& action);

  void HandleCall(AttemptNumber attempt, CallEvent event);
  void HandleHead(AttemptNumber attempt, const CallHead& head);
  void HandleBodyData(AttemptNumber attempt, const std::string& data);
  void HandleLine(AttemptNumber attempt, std::string_view line);
  void HandleEngineFailure(const EngineFailure& error);
  void FailAttempt(AttemptNumber attempt, const UpstreamName& failed_upstream,
                   ResultCode code);
  void HandleToken(const TokenArrived& token);
  void RecordTimings(const std::vector<StageTiming>& timings);
  void ReleaseChain(const UpstreamName& failed_upstream, ResultCode code);
  void PauseIfCallerIsSlow();
  const UpstreamSpec* FindUpstream(const UpstreamName& name) const;

  DaemonContext context_;
  TableSetPtr tables_;
  const Route& route_;
  const Pool& pool_;
  RequestId id_;
  CompletionRequest request_;
  std::shared_ptr<HttpServerSession> caller_;
  CompletionWriter writer_;
  RequestTimer request_timer_;
  AdmissionTicketPtr ticket_;  ///< Null once the session has ended.
  ModelRequest decider_;
  SuspectGuard guard_;
  bool attempt_delivered_ = false;
  Chain chain_;
  std::shared_ptr<HttpClientCall> call_;
  TimePoint deadline_;
  LoopTimerPtr deadline_timer_;
  LoopTimerPtr wait_timer_;
  AttemptNumber attempt_ = 0;
  std::string line_buffer_;
  bool retry_needed_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_MODEL_SESSION_H_
