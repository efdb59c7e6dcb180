#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_SERVICE_SESSION_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_SERVICE_SESSION_H_

#include <memory>
#include <set>

#include "decisions/service_request.h"
#include "runtime/http_client_call.h"
#include "runtime/http_server_session.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Carries out the decisions of one `ServiceRequest`: calls the service and
/// answers the caller. It keeps itself alive through its call.
class ServiceSession : public std::enable_shared_from_this<ServiceSession> {
 public:
  /// Serves `request` under `tables`, from the pool of `route`.
  ServiceSession(DaemonContext context, TableSetPtr tables, const Route& route,
                 RequestId id, HttpRequest request,
                 std::shared_ptr<HttpServerSession> caller);

  void Start();

 private:
  void Feed(const ServiceRequestEvent& event);
  void ChooseAndFeedUpstream(const std::set<UpstreamName>& excluded);
  void StartCall(const SendCall& action);
  void HandleResult(const SendCall& call, FetchResult result);
  void ReturnToCaller();
  void Fail(const FailCall& action);
  const UpstreamSpec* FindUpstream(const UpstreamName& name) const;

  DaemonContext context_;
  TableSetPtr tables_;
  const Route& route_;
  const Pool& pool_;
  RequestId id_;
  HttpRequest request_;
  std::shared_ptr<HttpServerSession> caller_;
  ServiceRequest decider_;
  HttpResponse answer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_SERVICE_SESSION_H_
