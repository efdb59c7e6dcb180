#include "ctl/run_command.h"

#include "ctl/daemon_commands.h"
#include "ctl/log_commands.h"
#include "ctl/table_commands.h"

namespace wisteriayoke {

CommandResult RunCommand(const CtlOptions& options) {
  switch (options.command) {
    case Command::kTableGet:
      return GetTables(options);
    case Command::kTableCheck:
      return CheckTables(options);
    case Command::kTableSet:
      return SetTables(options);
    case Command::kTableDiff:
      return DiffTableVersions(options);
    case Command::kTableHistory:
      return ListTableHistory(options);
    case Command::kStatus:
      return ShowStatus(options);
    case Command::kDrain:
      return DrainDaemons(options);
    case Command::kRestart:
      return RestartChildren(options);
    case Command::kTimeline:
      return ShowTimeline(options);
    case Command::kExplain:
      return ExplainRequest(options);
    case Command::kExplainLog:
      return ExplainFromLog(options);
    case Command::kVersion:
      return ShowVersions(options);
  }
  return CommandResult::Fail(ResultCode::kUsage, "unknown command.");
}

}  // namespace wisteriayoke
