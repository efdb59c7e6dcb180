#ifndef WISTERIAYOKE_CTL_COMMAND_H_
#define WISTERIAYOKE_CTL_COMMAND_H_

#include <span>
#include <string_view>

namespace wisteriayoke {

/// Commands of the tool.
enum class Command {
  kTableGet,
  kTableCheck,
  kTableSet,
  kTableDiff,
  kTableHistory,
  kStatus,
  kDrain,
  kRestart,
  kTimeline,
  kExplain,
  kExplainLog,
  kVersion,
};

/// The kind of server that a command calls; decides its connection options.
enum class CommandPeer { kNone, kStore, kDaemons };

/// One row of the table of commands.
struct CommandInfo {
  Command command;
  std::string_view name;
  std::string_view operands;  ///< Operands as shown by --help.
  unsigned min_operands;
  unsigned max_operands;
  CommandPeer peer;
  std::string_view help;
};

/// Returns the table of commands, in the order of the help.
std::span<const CommandInfo> CommandTable();

/// Returns the command whose name is `first`, or `first` and `second` joined by
/// a space; null if there is none.
const CommandInfo* FindCommand(std::string_view first, std::string_view second);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_COMMAND_H_
