#include "supervisor/relay/relay_refusal.h"

#include "platform/relay_fields.h"

namespace wisteriayoke {

HttpResponse BuildRefusal(const std::string& attempt_id, ResultCode code,
                          Duration retry_after) {
  const ResultCodeInfo& info = DescribeResultCode(code);
  return BuildOwnAnswer(
      info.http_status, attempt_id,
      std::string(info.name) + ": " + std::string(info.remedy), retry_after);
}

}  // namespace wisteriayoke
