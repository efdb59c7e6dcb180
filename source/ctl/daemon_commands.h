#ifndef WISTERIAYOKE_CTL_DAEMON_COMMANDS_H_
#define WISTERIAYOKE_CTL_DAEMON_COMMANDS_H_

#include "ctl/command_result.h"
#include "ctl/ctl_options.h"

namespace wisteriayoke {

/// Commands that call the operators' servers of the daemons. A daemon that does
/// not answer is reported as an error; the other answers are still printed.
CommandResult ShowStatus(const CtlOptions& options);
CommandResult DrainDaemons(const CtlOptions& options);
CommandResult RestartChildren(const CtlOptions& options);
CommandResult ShowTimeline(const CtlOptions& options);
CommandResult ExplainRequest(const CtlOptions& options);
CommandResult ShowVersions(const CtlOptions& options);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_DAEMON_COMMANDS_H_
