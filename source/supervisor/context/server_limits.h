#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_SERVER_LIMITS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_SERVER_LIMITS_H_

#include "runtime/http_server.h"
#include "supervisor/context/settings.h"

namespace wisteriayoke {

/// Returns the limits on callers' connections that `settings` give.
HttpServerLimits ReadServerLimits(const Settings& settings);

/// Bounds of the whole process.
struct ProcessLimits {
  std::uint64_t memory_bytes = 0;  ///< What connections may hold together.
  std::uint64_t descriptors = 0;
};

/// Returns the bounds that `settings` and the machine give.
ProcessLimits ReadProcessLimits(const Settings& settings);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_SERVER_LIMITS_H_
