#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_PAGE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_PAGE_H_

#include "supervisor/context/daemon_context.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Returns the daemon's metrics in the Prometheus text format, with gauges of
/// its present state.
HttpResponse BuildMetricsPage(const DaemonContext& context);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_PAGE_H_
