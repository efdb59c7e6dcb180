#ifndef WISTERIAYOKE_CTL_BLOCKING_HTTP_H_
#define WISTERIAYOKE_CTL_BLOCKING_HTTP_H_

#include <optional>

#include "base/last_reason.h"
#include "base/time_types.h"
#include "decisions/table_spec.h"
#include "runtime/event_loop.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Sends `request` to `endpoint` and waits for the whole response. Fails with
/// kConnectFailed if nothing was sent, otherwise with kTimedOut or
/// kConnectionBroken.
std::optional<HttpResponse> FetchBlocking(const Endpoint& endpoint,
                                          const HttpRequest& request,
                                          Duration timeout, LastReason& reason);

/// Does the same on `loop`, which runs until the response is complete or fails.
std::optional<HttpResponse> FetchBlocking(EventLoop& loop,
                                          const Endpoint& endpoint,
                                          const HttpRequest& request,
                                          Duration timeout, LastReason& reason);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_BLOCKING_HTTP_H_
