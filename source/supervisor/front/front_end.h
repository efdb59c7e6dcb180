#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_FRONT_END_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_FRONT_END_H_

#include <functional>
#include <memory>

#include "runtime/http_server.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/front/admission_gate.h"
#include "supervisor/table_service/table_service_client.h"

namespace wisteriayoke {

/// Accepts callers' requests, matches them with a route and starts a session
/// for each. A child of the root; sessions outlive its restart.
class FrontEnd : public std::enable_shared_from_this<FrontEnd> {
 public:
  FrontEnd(DaemonContext context, TableServiceFinder table_service,
           FailureHandler on_failure);

  bool Start(LastReason& reason);
  /// Accepts no more requests and calls `done` when all are answered and the
  /// outcomes of all calls that run at most once are recorded.
  void Stop(std::function<void()> done);

  /// Closes all connections at once.
  void TerminateSessions();

 private:
  using CallerPtr = std::shared_ptr<HttpServerSession>;

  /// A request whose workspace and route are known.
  struct RoutedRequest {
    TableSetPtr tables;  ///< Owns `workspace` and `route`.
    const Workspace& workspace;
    const Route& route;
    RequestId id;
    HttpRequest request;
    CallerPtr caller;
  };

  void Handle(HttpRequest request, const CallerPtr& caller);
  bool HandleProbe(std::string_view path, const CallerPtr& caller);
  void RouteRequest(HttpRequest request, const CallerPtr& caller);
  void StartModelSession(const RoutedRequest& routed);
  void StartServiceSession(RoutedRequest routed);
  /// Calls `start` once the request has a slot, or refuses it.
  void Admit(const RoutedRequest& routed, std::uint32_t max_tokens,
             std::function<void(AdmissionTicketPtr)> start);
  void WaitForClaims(std::function<void()> done);
  RequestId NextRequestId();

  DaemonContext context_;
  TableServiceFinder table_service_;
  FailureHandler on_failure_;
  std::shared_ptr<HttpServer> server_;
  LoopTimerPtr claims_timer_;
  bool terminated_ = false;
  GossipExchange::Subscription suspect_updates_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_FRONT_END_H_
