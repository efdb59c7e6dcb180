#ifndef WISTERIAYOKE_CTL_COMMAND_H_
#define WISTERIAYOKE_CTL_COMMAND_H_

#include <span>
#include <string_view>

namespace wisteriayoke {

/// What the tool can do.
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

/// What a command talks to, which decides the options that it takes.
enum class CommandPeer { kNone, kStore, kDaemons };

/// One row of the table of commands.
struct CommandInfo {
  Command command;
  std::string_view name;
  std::string_view operands;  ///< As the help shows them.
  unsigned least_operands;
  unsigned most_operands;
  CommandPeer peer;
  std::string_view help;
};

/// Returns the table of commands, in the order of the help.
std::span<const CommandInfo> CommandTable();

/// Returns the command that the words `first` and `second` begin with, or null.
const CommandInfo* FindCommand(std::string_view first, std::string_view second);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_COMMAND_H_
