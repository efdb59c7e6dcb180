#ifndef WISTERIAYOKE_CTL_TABLE_COMMANDS_H_
#define WISTERIAYOKE_CTL_TABLE_COMMANDS_H_

#include "ctl/command_result.h"
#include "ctl/ctl_options.h"

namespace wisteriayoke {

/// Commands on the operators' tables. They call the platform's table service
/// and object store directly, so that they work while no daemon runs.
CommandResult GetTables(const CtlOptions& options);
CommandResult CheckTables(const CtlOptions& options);
CommandResult SetTables(const CtlOptions& options);
CommandResult DiffTableVersions(const CtlOptions& options);
CommandResult ListTableHistory(const CtlOptions& options);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_TABLE_COMMANDS_H_
