#ifndef WISTERIAYOKE_CTL_LOG_COMMANDS_H_
#define WISTERIAYOKE_CTL_LOG_COMMANDS_H_

#include "ctl/command_result.h"
#include "ctl/ctl_options.h"

namespace wisteriayoke {

/// Explains a request from a file with log lines of the daemons.
CommandResult ExplainFromLog(const CtlOptions& options);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_LOG_COMMANDS_H_
