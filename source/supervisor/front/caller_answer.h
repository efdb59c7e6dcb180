#ifndef WISTERIAYOKE_SUPERVISOR_FRONT_CALLER_ANSWER_H_
#define WISTERIAYOKE_SUPERVISOR_FRONT_CALLER_ANSWER_H_

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result_code.h"
#include "base/time_types.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Adds the fields that give the caller the request's id, outcome and code.
void AddOutcomeFields(const RequestId& request, ResultCode code,
                      HttpFields& fields);

/// Delay given to callers in Retry-After where none was computed.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/// Returns the complete error answer for `code`. If its status is 429, 503 or
/// 504, it has a Retry-After field with `retry_after` in whole seconds.
HttpResponse BuildErrorAnswer(const RequestId& request, ResultCode code,
                              std::string_view message,
                              Duration retry_after = kDefaultRetryAfter);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_FRONT_CALLER_ANSWER_H_
