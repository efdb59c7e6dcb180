#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_REFUSAL_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_REFUSAL_H_

#include <string>

#include "base/result_code.h"
#include "base/time_types.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Delay after which a refused caller should retry: about the time in which
/// requests in flight free a slot.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(250);

/// Returns the relay's own answer to the send `attempt_id`, with the remedy of
/// `code`. `retry_after` is the delay given to the caller; zero gives none.
HttpResponse BuildRefusal(const std::string& attempt_id, ResultCode code,
                          Duration retry_after);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_RELAY_REFUSAL_H_
