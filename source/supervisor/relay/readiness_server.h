#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_READINESS_SERVER_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_READINESS_SERVER_H_

#include <functional>
#include <memory>

#include "runtime/http_server.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Answers the balancer's readiness checks: 200 if this daemon takes new
/// callers, otherwise 503. A child of the root.
class ReadinessServer : public std::enable_shared_from_this<ReadinessServer> {
 public:
  ReadinessServer(DaemonContext context, const FailureHandler& on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  bool IsReady() const;

  DaemonContext context_;
  std::shared_ptr<HttpServer> server_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_READINESS_SERVER_H_
