#include "supervisor/front/request_cut.h"

namespace wisteriayoke {

void RecordCut(const DaemonContext& context, const RequestId& request) {
  ++context.state.requests_cut;
  context.state.timeline.Record(LogLevel::kWarning, EventKind::kRequestCut,
                                ResultCode::kShutdownCut,
                                {{"request", request.text()}});
}

}  // namespace wisteriayoke
