#ifndef WISTERIAYOKE_CTL_CTL_OPTIONS_H_
#define WISTERIAYOKE_CTL_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/last_reason.h"
#include "base/time_types.h"
#include "ctl/command.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// The command line and the settings file of the tool, checked.
struct CtlOptions {
  Command command = Command::kVersion;
  std::vector<std::string> operands;
  bool json = false;
  std::optional<Endpoint> platform;
  std::vector<Endpoint> daemons;  ///< Their operators' ports.
  Duration timeout = std::chrono::seconds(2);
  std::optional<std::uint64_t> base;
  std::string author;
  unsigned limit = 20;
};

/// Parses the command line. Fails with kUsage, kFieldInvalid or the reason why
/// the settings file is refused. Ends the process for --help.
std::optional<CtlOptions> ParseCtlOptions(int argc, const char** argv,
                                          LastReason& reason);

/// Returns the list of commands that is shown for --help without a command.
std::string DescribeCommands();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_CTL_OPTIONS_H_
