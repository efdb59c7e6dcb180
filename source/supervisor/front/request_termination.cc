#include "supervisor/front/request_termination.h"

namespace wisteriayoke {

void RecordTermination(const DaemonContext& context, const RequestId& request) {
  ++context.state.requests_terminated;
  context.state.timeline.Record(LogLevel::kWarning, EventKind::kRequestCut,
                                ResultCode::kShutdownCut,
                                {{"request", request.text()}});
}

}  // namespace wisteriayoke
