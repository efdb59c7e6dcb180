#ifndef WISTERIAYOKE_CTL_TABLE_COMMANDS_H_
#define WISTERIAYOKE_CTL_TABLE_COMMANDS_H_

#include "ctl/command_result.h"
#include "ctl/ctl_options.h"

namespace wisteriayoke {

/// The commands on the operators' tables. They speak with the platform's table
/// service and object store, so that they work while no daemon does.
CommandResult GetTables(const CtlOptions& options);
CommandResult CheckTables(const CtlOptions& options);
CommandResult SetTables(const CtlOptions& options);
CommandResult DiffTableVersions(const CtlOptions& options);
CommandResult ListTableHistory(const CtlOptions& options);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_TABLE_COMMANDS_H_
