#ifndef WISTERIAYOKE_SUPERVISOR_OPERATORS_OPERATORS_SERVER_H_
#define WISTERIAYOKE_SUPERVISOR_OPERATORS_OPERATORS_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/http_server.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"
#include "supervisor/context/daemon_status.h"

namespace wisteriayoke {

/// Functions of the root that the operators' server calls.
struct OperatorsHooks {
  std::function<DaemonStatus()> describe;
  /// Begins a planned stop.
  std::function<void()> request_stop;
  /// Restarts the child at `path` of the tree. Fails with kUnknownChild if none
  /// runs there.
  std::function<bool(const std::string& path, LastReason&)> restart_child;
  /// Applies tables that the store accepted as version `number`. Fails with
  /// kMalformedJson or kTableInvalid, or kNotReady while the child restarts.
  std::function<bool(std::uint64_t number, const std::string& content,
                     LastReason&)>
      announce_tables;
};

/// Serves the operators' tool: GET /status, /timeline and /metrics, POST
/// /drain and /children/PATH/restart, PUT /tables/NUMBER. A child of the root
/// that starts first and stops last, so that operators can monitor a daemon
/// while it drains.
class OperatorsServer : public std::enable_shared_from_this<OperatorsServer> {
 public:
  OperatorsServer(DaemonContext context, OperatorsHooks hooks,
                  FailureHandler on_failure);

  bool Start(LastReason& reason);
  /// Closes idle connections now; calls `done` once all requests have ended.
  void Stop(std::function<void()> done);

  /// Closes all connections at once.
  void TerminateSessions();

 private:
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleGet(std::string_view path);
  HttpResponse HandlePut(std::string_view path, const std::string& content);
  HttpResponse HandlePost(std::string_view path);
  HttpResponse RestartChild(std::string_view path);
  std::string EncodeTimeline() const;

  DaemonContext context_;
  OperatorsHooks hooks_;
  FailureHandler on_failure_;
  std::shared_ptr<HttpServer> server_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_OPERATORS_OPERATORS_SERVER_H_
