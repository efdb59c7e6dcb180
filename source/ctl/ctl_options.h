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

/// Validated options from the command line and the settings file of the tool.
struct CtlOptions {
  Command command = Command::kVersion;
  std::vector<std::string> operands;
  bool json = false;
  std::optional<Endpoint> platform;
  std::vector<Endpoint> daemons;  ///< Operators' addresses of the daemons.
  Duration timeout = std::chrono::seconds(2);
  std::optional<std::uint64_t> base;
  std::string author;
  unsigned limit = 20;
};

/// Parses the command line. Fails with kUsage, kFieldInvalid or the error of
/// the settings file. For --help, prints the help and ends the process.
std::optional<CtlOptions> ParseCtlOptions(int argc, const char** argv,
                                          LastReason& reason);

/// Returns the list of commands that --help without a command prints.
std::string DescribeCommands();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_CTL_CTL_OPTIONS_H_
