#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_SERVER_LIMITS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_SERVER_LIMITS_H_

#include "runtime/http_server.h"
#include "supervisor/context/settings.h"

namespace wisteriayoke {

/// Returns the limits on callers' connections that `settings` give.
HttpServerLimits ReadServerLimits(const Settings& settings);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_SERVER_LIMITS_H_
