#ifndef WISTERIAYOKE_CTL_COMMAND_RESULT_H_
#define WISTERIAYOKE_CTL_COMMAND_RESULT_H_

#include <string>
#include <utility>

#include "base/last_reason.h"

namespace wisteriayoke {

/// What a command prints and how it ended. Both may be set: some daemons may
/// have answered and others not.
struct CommandResult {
  std::string output;
  LastReason reason;
  std::string note;  ///< For people, beside the output.

  static CommandResult Fail(const LastReason& why) { return {"", why, ""}; }

  static CommandResult Fail(ResultCode code, std::string message) {
    CommandResult result;
    result.reason.Set(code, std::move(message));
    return result;
  }
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_COMMAND_RESULT_H_
