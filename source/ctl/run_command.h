#ifndef WISTERIAYOKE_CTL_RUN_COMMAND_H_
#define WISTERIAYOKE_CTL_RUN_COMMAND_H_

#include "ctl/command_result.h"
#include "ctl/ctl_options.h"

namespace wisteriayoke {

/// Runs the command of `options` and returns its result.
CommandResult RunCommand(const CtlOptions& options);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_RUN_COMMAND_H_
