#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_SERVICE_SESSION_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_SERVICE_SESSION_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/service_request.h"
#include "runtime/http_client_call.h"
#include "runtime/http_server_session.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/request_timer.h"
#include "supervisor/front/admission_ticket.h"
#include "supervisor/front/ledger_store.h"

namespace wisteriayoke {

/// Executes the decisions of one `ServiceRequest`: writes the ledger, calls the
/// service and answers the caller. It keeps itself alive through its store
/// operations, calls and timers, also after the caller has left, so that the
/// outcome is recorded.
class ServiceSession : public std::enable_shared_from_this<ServiceSession> {
 public:
  /// Parts that a session is made from.
  struct Input {
    TableSetPtr tables;
    const Route& route;
    WorkspaceName workspace;
    RequestId id;
    HttpRequest request;
    std::shared_ptr<HttpServerSession> caller;
    AdmissionTicketPtr ticket;
  };

  /// Makes a session. Answers the caller and returns null if the request's
  /// Idempotency-Key or send number is invalid.
  static std::shared_ptr<ServiceSession> Create(
      DaemonContext context, const TableServiceFinder& table_service,
      Input input);

  void Start();

  ServiceSession(DaemonContext context, Input input, ServiceRequest decider,
                 std::optional<LedgerStore> ledger);
  ~ServiceSession();
  ServiceSession(const ServiceSession&) = delete;
  ServiceSession& operator=(const ServiceSession&) = delete;

 private:
  void Feed(const ServiceRequestEvent& event);
  void Execute(const ServiceRequestAction& action);
  void ChooseAndFeedUpstream(const std::set<UpstreamName>& excluded);
  std::vector<RoutingCandidate> ListCandidates(
      const std::set<UpstreamName>& excluded) const;
  bool MayRetry();
  void StartCall(const SendCall& action);
  void HandleResult(const SendCall& call, FetchResult result);
  void ReturnToCaller(const HttpResponse& answer, bool replayed);
  void Replay(const ReplayAnswer& action);
  void Fail(const FailCall& action);
  void AnswerTerminated();
  void ScheduleClaimTimer(Duration delay);
  const UpstreamSpec* FindUpstream(const UpstreamName& name) const;

  DaemonContext context_;
  Input input_;
  const Pool& pool_;
  RequestTimer request_timer_;
  ServiceRequest decider_;
  std::optional<LedgerStore> ledger_;
  TimePoint deadline_;
  TimePoint call_start_;
  HttpResponse answer_;
  LoopTimerPtr claim_timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_SERVICE_SESSION_H_
