#include "supervisor/relay/relay_refusal.h"

#include "platform/relay_fields.h"

namespace wisteriayoke {

HttpResponse BuildRefusal(const std::string& attempt_id, ResultCode code,
                          Duration retry_after) {
  const ResultCodeInfo& info = DescribeResultCode(code);
  // Callers take a 4xx for their own mistake, but the request may be valid.
  const int status = code == ResultCode::kQuarantined
                         ? DescribeResultCode(ResultCode::kNotReady).http_status
                         : info.http_status;
  return BuildRouterAnswer(
      status, attempt_id,
      std::string(info.name) + ": " + std::string(info.remedy), retry_after);
}

}  // namespace wisteriayoke
