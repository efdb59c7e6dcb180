#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_CALLER_ANSWER_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_CALLER_ANSWER_H_

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"
#include "base/time_types.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Adds the fields that tell the caller the request's id, outcome and code.
void AddOutcomeFields(const RequestId& request, ResultCode code,
                      HttpFields& fields);

/// What a caller is told to wait where no delay was worked out.
inline constexpr Duration kUsualRetryAfter = std::chrono::seconds(1);

/// Returns the whole error answer for `code`.
HttpResponse BuildErrorAnswer(const RequestId& request, ResultCode code,
                              std::string_view message,
                              Duration retry_after = kUsualRetryAfter);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_CALLER_ANSWER_H_
