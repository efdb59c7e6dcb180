#ifndef WISTERIAYOKE_CTL_DAEMON_COMMANDS_H_
#define WISTERIAYOKE_CTL_DAEMON_COMMANDS_H_

#include "ctl/command_result.h"
#include "ctl/ctl_options.h"

namespace wisteriayoke {

/// The commands on daemons, over their operators' ports. A daemon that doesn't
/// answer is reported beside what the others answered.
CommandResult ShowStatus(const CtlOptions& options);
CommandResult DrainDaemons(const CtlOptions& options);
CommandResult RestartChildren(const CtlOptions& options);
CommandResult ShowTimeline(const CtlOptions& options);
CommandResult ExplainRequest(const CtlOptions& options);
CommandResult ShowVersions(const CtlOptions& options);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_DAEMON_COMMANDS_H_
