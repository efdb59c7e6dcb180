#include "ctl/ctl_options.h"

#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <memory>

#include "supervisor/context/ini_text.h"
#include "wire/table_codec.h"

namespace wisteriayoke {
namespace {

constexpr auto kProgram = "wisteriayokectl";
constexpr std::size_t kNameColumn = 26;

/// Names of the settings in the tool's settings file.
constexpr auto kPlatformSetting = "platform.address";
constexpr auto kDaemonsSetting = "operators.addresses";

/// Option values in the form in which popt stores them.
struct RawOptions {
  char* config = nullptr;
  char* platform = nullptr;
  char* daemons = nullptr;
  char* author = nullptr;
  int timeout_ms = 2000;
  int base = -1;
  int limit = 20;
  int json = 0;

  RawOptions() = default;
  RawOptions(const RawOptions&) = delete;
  RawOptions& operator=(const RawOptions&) = delete;
  ~RawOptions() {
    for (char* text : {config, platform, daemons, author}) std::free(text);
  }
};

/// Frees a popt context.
struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPtr = std::unique_ptr<poptContext_s, ContextDeleter>;

void AddConnectionOptions(CommandPeer peer, RawOptions& raw,
                          std::vector<poptOption>& table) {
  if (peer == CommandPeer::kNone) return;
  table.push_back({"config", 'c', POPT_ARG_STRING, &raw.config, 0,
                   "Read addresses from the settings in FILE", "FILE"});
  table.push_back({"timeout-ms", 0, POPT_ARG_INT, &raw.timeout_ms, 0,
                   "Longest wait for one answer (default 2000)", "MS"});
  if (peer == CommandPeer::kStore) {
    table.push_back({"platform", 'p', POPT_ARG_STRING, &raw.platform, 0,
                     "Address of the platform's table service", "IP:PORT"});
  } else {
    table.push_back({"daemons", 'd', POPT_ARG_STRING, &raw.daemons, 0,
                     "Operators' ports of the daemons", "IP:PORT,..."});
  }
}

std::vector<poptOption> BuildTable(const CommandInfo& info, RawOptions& raw) {
  std::vector<poptOption> table;
  AddConnectionOptions(info.peer, raw, table);
  if (info.command == Command::kTableSet) {
    table.push_back({"base", 'b', POPT_ARG_INT, &raw.base, 0,
                     "Version that was edited; 0 for the first tables", "N"});
    table.push_back({"author", 'a', POPT_ARG_STRING, &raw.author, 0,
                     "Who makes the change, for the history", "NAME"});
  }
  if (info.command == Command::kTableHistory ||
      info.command == Command::kTimeline) {
    table.push_back({"limit", 'n', POPT_ARG_INT, &raw.limit, 0,
                     "Most rows, the latest (default 20)", "N"});
  }
  table.push_back({"json", 'j', POPT_ARG_NONE, &raw.json, 0,
                   "Print JSON instead of text", nullptr});
  const poptOption ending[] = {POPT_AUTOHELP POPT_TABLEEND};
  table.insert(table.end(), std::begin(ending), std::end(ending));
  return table;
}

bool FailUsage(LastReason& reason, std::string message) {
  reason.Set(ResultCode::kUsage, std::move(message));
  return false;
}

bool ParseDaemons(const std::string& list, CtlOptions& options,
                  LastReason& reason) {
  options.daemons.clear();
  for (const auto& item : SplitList(list)) {
    const auto endpoint = ParseEndpoint(item, reason);
    if (!endpoint) return false;
    options.daemons.push_back(*endpoint);
  }
  return true;
}

bool ParsePlatform(const std::string& text, CtlOptions& options,
                   LastReason& reason) {
  options.platform = ParseEndpoint(text, reason);
  return options.platform.has_value();
}

bool ApplySettingsFile(const std::string& path, CtlOptions& options,
                       LastReason& reason) {
  const auto text = ReadTextFile(path, reason);
  if (!text) return false;
  const auto assignments = ParseIni(*text, reason);
  if (!assignments) return false;
  for (const auto& assignment : *assignments) {
    const std::string name = assignment.FullName();
    if (name == kPlatformSetting) {
      if (!ParsePlatform(assignment.value, options, reason)) return false;
    } else if (name == kDaemonsSetting) {
      if (!ParseDaemons(assignment.value, options, reason)) return false;
    } else {
      ExplainUnknownSetting(assignment, {kPlatformSetting, kDaemonsSetting},
                            reason);
      return false;
    }
  }
  return true;
}

bool ApplyRawOptions(const RawOptions& raw, CtlOptions& options,
                     LastReason& reason) {
  if (raw.config != nullptr &&
      !ApplySettingsFile(raw.config, options, reason)) {
    return false;
  }
  if (raw.platform != nullptr &&
      !ParsePlatform(raw.platform, options, reason)) {
    return false;
  }
  if (raw.daemons != nullptr && !ParseDaemons(raw.daemons, options, reason)) {
    return false;
  }
  if (raw.timeout_ms <= 0) {
    return FailUsage(reason, "--timeout-ms must be positive.");
  }
  if (raw.limit <= 0) return FailUsage(reason, "--limit must be positive.");
  options.timeout = std::chrono::milliseconds(raw.timeout_ms);
  options.limit = static_cast<unsigned>(raw.limit);
  options.json = raw.json != 0;
  if (raw.base >= 0) options.base = static_cast<std::uint64_t>(raw.base);
  if (raw.author != nullptr) options.author = raw.author;
  return true;
}

bool CheckRequirements(const CommandInfo& info, const CtlOptions& options,
                       LastReason& reason) {
  const std::size_t count = options.operands.size();
  if (count < info.min_operands || count > info.max_operands) {
    return FailUsage(reason,
                     "\"" + std::string(info.name) + "\" takes " +
                         (info.operands.empty() ? std::string("no operand")
                                                : std::string(info.operands)) +
                         "; see --help.");
  }
  if (info.peer == CommandPeer::kStore && !options.platform) {
    return FailUsage(reason, "give --platform, or --config with " +
                                 std::string(kPlatformSetting) + ".");
  }
  const bool needs_daemons =
      info.peer == CommandPeer::kDaemons && info.command != Command::kVersion;
  if (needs_daemons && options.daemons.empty()) {
    return FailUsage(reason, "give --daemons, or --config with " +
                                 std::string(kDaemonsSetting) + ".");
  }
  if (info.command == Command::kTableSet && !options.base) {
    return FailUsage(reason,
                     "give --base, the version that you edited; \"table get\" "
                     "prints it.");
  }
  return true;
}

unsigned CountWords(const CommandInfo& info) {
  return info.name.find(' ') == std::string_view::npos ? 1 : 2;
}

std::optional<CtlOptions> ParseCommandOptions(const CommandInfo& info, int argc,
                                              const char** argv,
                                              LastReason& reason) {
  RawOptions raw;
  const auto table = BuildTable(info, raw);
  const std::string name = kProgram + (" " + std::string(info.name));
  const unsigned word_count = CountWords(info);
  std::vector<const char*> arguments{name.c_str()};
  for (int i = 1 + static_cast<int>(word_count); i < argc; ++i) {
    arguments.push_back(argv[i]);
  }
  const ContextPtr context(poptGetContext(kProgram,
                                          static_cast<int>(arguments.size()),
                                          arguments.data(), table.data(), 0));
  const std::string usage = std::string(info.operands) + " [OPTION...]\n\n" +
                            std::string(info.help) + "\n";
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  CtlOptions options{.command = info.command};
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    FailUsage(reason, std::string(poptBadOption(context.get(), 0)) + ": " +
                          poptStrerror(result) + "; see --help.");
    return std::nullopt;
  }
  while (const char* operand = poptGetArg(context.get())) {
    options.operands.emplace_back(operand);
  }
  if (!ApplyRawOptions(raw, options, reason) ||
      !CheckRequirements(info, options, reason)) {
    return std::nullopt;
  }
  return options;
}

}  // namespace

std::string DescribeCommands() {
  std::string text =
      "Usage: wisteriayokectl COMMAND [OPERAND...] [OPTION...]\n\n";
  for (const auto& row : CommandTable()) {
    std::string line = "  " + std::string(row.name);
    if (!row.operands.empty()) line += " " + std::string(row.operands);
    line.resize(std::max(line.size() + 1, kNameColumn), ' ');
    text += line + std::string(row.help) + "\n";
  }
  return text + "\nEach command has its own --help.\n";
}

std::optional<CtlOptions> ParseCtlOptions(int argc, const char** argv,
                                          LastReason& reason) {
  const std::string_view first = argc > 1 ? argv[1] : "";
  const std::string_view second = argc > 2 ? argv[2] : "";
  const CommandInfo* info = FindCommand(first, second);
  if (info != nullptr) return ParseCommandOptions(*info, argc, argv, reason);
  FailUsage(reason, first.empty() ? std::string("no command given; see --help.")
                                  : "unknown command \"" + std::string(first) +
                                        "\"; see --help.");
  return std::nullopt;
}

}  // namespace wisteriayoke
