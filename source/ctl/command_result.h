#ifndef WISTERIAYOKE_CTL_COMMAND_RESULT_H_
#define WISTERIAYOKE_CTL_COMMAND_RESULT_H_

#include <string>
#include <utility>

#include "base/last_reason.h"

namespace wisteriayoke {

/// Output and error of a command. Both may be set, when some daemons answered
/// and others did not.
struct CommandResult {
  std::string output;
  LastReason reason;
  std::string note;  ///< Remark for the user, printed to stderr.

  static CommandResult Fail(const LastReason& why) { return {"", why, ""}; }

  static CommandResult Fail(ResultCode code, std::string message) {
    CommandResult result;
    result.reason.Set(code, std::move(message));
    return result;
  }
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_COMMAND_RESULT_H_
