#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_REACH_MONITOR_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_REACH_MONITOR_H_

#include "runtime/http_client_call.h"
#include "supervisor/context/daemon_context.h"

namespace wisteriayoke {

/// Records in `UpstreamReach` what `result`, of a call to `upstream` that began
/// at `begun`, shows.
void RecordReach(const DaemonContext& context, const UpstreamName& upstream,
                 TimePoint begun, const FetchResult& result);

/// Sends the probes that `UpstreamReach` asks for and logs its decisions.
class ReachMonitor {
 public:
  explicit ReachMonitor(DaemonContext context) : context_(context) {}

  /// Sends the probes that are due. Returns whether the links to all upstreams
  /// were lost since the last call.
  bool Update();

 private:
  std::vector<UpstreamName> ListUpstreams() const;
  void Probe(const UpstreamName& upstream) const;

  DaemonContext context_;
  bool lost_ = false;  ///< The decision when it was logged last.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_REACH_MONITOR_H_
