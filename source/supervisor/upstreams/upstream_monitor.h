#ifndef WISTERIAYOKE_SUPERVISOR_UPSTREAMS_UPSTREAM_MONITOR_H_
#define WISTERIAYOKE_SUPERVISOR_UPSTREAMS_UPSTREAM_MONITOR_H_

#include <functional>
#include <memory>

#include "runtime/http_client_call.h"
#include "runtime/supervisor.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Polls one upstream to find out whether it is leaving. A child of a pool's
/// supervisor.
class UpstreamMonitor : public std::enable_shared_from_this<UpstreamMonitor> {
 public:
  UpstreamMonitor(DaemonContext context, UpstreamSpec spec,
                  FailureHandler on_failure);

  bool Start(LastReason& reason);
  void Stop(const std::function<void()>& done);

 private:
  void Poll();
  void ScheduleNextPoll();
  void HandleHealth(const FetchResult& result);

  DaemonContext context_;
  UpstreamSpec spec_;
  FailureHandler on_failure_;
  LoopTimerPtr poll_timer_;
  bool stopped_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_UPSTREAMS_UPSTREAM_MONITOR_H_
