#include "ctl/command.h"

#include <array>
#include <string>

namespace wisteriayoke {
namespace {

using enum Command;
using enum CommandPeer;

constexpr auto kTable = std::to_array<CommandInfo>({
    {kTableGet, "table get", "[VERSION]", 0, 1, kStore,
     "Print the tables in force, or those of VERSION."},
    {kTableCheck, "table check", "FILE", 1, 1, kNone,
     "Check that FILE holds whole and consistent tables."},
    {kTableSet, "table set", "FILE", 1, 1, kStore,
     "Put FILE in force in place of the version given by --base."},
    {kTableDiff, "table diff", "FROM [TO]", 1, 2, kStore,
     "Print what differs between two versions or files; TO defaults to the "
     "tables in force."},
    {kTableHistory, "table history", "", 0, 0, kStore,
     "List the accepted versions, the latest first."},
    {kStatus, "status", "", 0, 0, kDaemons,
     "Print the state of the daemons, their children and upstreams."},
    {kDrain, "drain", "", 0, 0, kDaemons,
     "Ask the daemons for a planned stop: no new requests, those in flight "
     "finish."},
    {kRestart, "restart", "CHILD", 1, 1, kDaemons,
     "Restart a child of the daemons, by its path in the status."},
    {kTimeline, "timeline", "", 0, 0, kDaemons,
     "Print the latest events of all daemons in one order."},
    {kExplain, "explain", "REQUEST", 1, 1, kDaemons,
     "Print the events of one request over all daemons."},
    {kExplainLog, "explain-log", "REQUEST FILE", 2, 2, kNone,
     "Print the lines of a saved log that explain one request."},
    {kVersion, "version", "", 0, 0, kDaemons,
     "Print the release of this tool and of the daemons given."},
});

}  // namespace

std::span<const CommandInfo> CommandTable() { return kTable; }

const CommandInfo* FindCommand(std::string_view first,
                               std::string_view second) {
  const std::string both = std::string(first) + " " + std::string(second);
  for (const auto& row : kTable) {
    if (row.name == first || row.name == both) return &row;
  }
  return nullptr;
}

}  // namespace wisteriayoke
