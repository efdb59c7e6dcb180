#include <malloc.h>
#include <popt.h>

#include <cstdio>
#include <memory>
#include <optional>
#include <string>

#include "base/fault.h"
#include "base/invariant.h"
#include "base/last_reason.h"
#include "base/version.h"
#include "runtime/event_loop.h"
#include "supervisor/context/log.h"
#include "supervisor/context/reference_docs.h"
#include "supervisor/context/settings.h"
#include "supervisor/root/root_supervisor.h"

namespace wisteriayoke {
namespace {

/// Options of the command line.
struct Options {
  std::string config;
  bool check_config = false;
  bool print_config = false;
  bool version = false;
  bool help_settings = false;
  bool help_codes = false;
};

std::optional<Options> ParseOptions(int argc, const char** argv,
                                    LastReason& reason) {
  char* config = nullptr;
  int check = 0;
  int print = 0;
  int version = 0;
  int help_settings = 0;
  int help_codes = 0;
  const poptOption table[] = {
      {"config", 'c', POPT_ARG_STRING, &config, 0,
       "Read the settings from FILE", "FILE"},
      {"check-config", 0, POPT_ARG_NONE, &check, 0,
       "Check the settings and exit", nullptr},
      {"print-config", 0, POPT_ARG_NONE, &print, 0,
       "Print the settings in force and exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "Print the version and exit",
       nullptr},
      {"help-settings", 0, POPT_ARG_NONE, &help_settings, 0,
       "Describe all settings and exit", nullptr},
      {"help-codes", 0, POPT_ARG_NONE, &help_codes, 0,
       "Describe all result codes and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("wisteriayoked", argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  Options options{.config = config == nullptr ? "" : config,
                  .check_config = check != 0,
                  .print_config = print != 0,
                  .version = version != 0,
                  .help_settings = help_settings != 0,
                  .help_codes = help_codes != 0};
  std::free(config);
  const bool failed = result < -1 || poptPeekArg(context) != nullptr;
  if (failed) {
    reason.Set(ResultCode::kUsage,
               std::string(poptBadOption(context, 0)) + ": see --help.");
  }
  poptFreeContext(context);
  if (failed) return std::nullopt;
  return options;
}

/// Prints the error `reason` and returns the exit status for it.
int ReportError(const LastReason& reason) {
  std::fprintf(stderr, "wisteriayoked: error %d: %s\n",
               static_cast<int>(reason.code()), reason.message().c_str());
  return ExitStatusOf(reason.code());
}

/// Reloads the settings from `path`. If they are invalid, records the reason
/// and keeps the settings in force.
void ReloadSettings(const std::string& path, RootSupervisor& root) {
  LastReason reason;
  const auto settings = Settings::Load(path, reason);
  if (settings) return root.Reload(*settings);
  root.timeline().Record(LogLevel::kError, EventKind::kReloaded, reason.code(),
                         {{"reason", reason.message()}});
}

/// Returns freed buffers to the system. By default the allocator keeps larger
/// and larger ones once some were freed, and a crowd's memory never comes back.
void ReturnFreedMemory() {
  constexpr int kLargeBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBytes);
}

int RunDaemon(const Settings& settings, const std::string& path) {
  const auto level = kLogLevelNames.Find(settings.Text(SettingKey::kLogLevel));
  ConfigureLog(level.value_or(LogLevel::kInfo),
               settings.Text(SettingKey::kDaemonName));
  ReturnFreedMemory();
  EventLoop loop;
  LastReason end;
  RootSupervisor root(loop, settings, [&loop, &end](const LastReason& reason) {
    end = reason;
    loop.Stop();
  });
  SetInvariantHandler([&root](ResultCode code, const std::string& state) {
    root.timeline().Record(LogLevel::kError, EventKind::kInvariantBroken, code,
                           {{"state", state}});
  });
  SetFaultHandler([&root](FaultBoundary boundary, std::string_view text) {
    root.timeline().Record(
        LogLevel::kError, EventKind::kFaultCaught, ResultCode::kExceptionCaught,
        {{"boundary", std::string(kFaultBoundaryNames.NameOf(boundary))},
         {"reason", std::string(text)}});
  });
  if (!root.Start(end)) return ReportError(end);
  loop.WatchStopSignals(
      [&root](int) { root.RequestStop(StopSource::kSignal); });
  loop.WatchReloadSignal([&root, &path](int) { ReloadSettings(path, root); });
  root.timeline().Record(LogLevel::kInfo, EventKind::kStarted, ResultCode::kOk,
                         {{"front", settings.Text(SettingKey::kFrontAddress)}});
  loop.Run();
  const bool good = end.code() == ResultCode::kOk;
  root.timeline().Record(good ? LogLevel::kInfo : LogLevel::kError,
                         EventKind::kEnded, end.code(),
                         {{"reason", end.message()}});
  return ExitStatusOf(end.code());
}

/// Prints the version and reference texts that `options` select. Returns false
/// if they select none.
bool PrintInformation(const Options& options) {
  std::string text;
  if (options.version) text += "wisteriayoked " + std::string(kVersion) + "\n";
  if (options.help_settings) text += DescribeSettings();
  if (options.help_codes) text += DescribeResultCodes();
  std::fputs(text.c_str(), stdout);
  return !text.empty();
}

int Main(int argc, const char** argv) {
  LastReason reason;
  const auto options = ParseOptions(argc, argv, reason);
  if (!options) return ReportError(reason);
  if (PrintInformation(*options)) return 0;
  if (options->config.empty()) {
    reason.Set(ResultCode::kUsage, "give --config FILE; see --help.");
    return ReportError(reason);
  }
  const auto settings = Settings::Load(options->config, reason);
  if (!settings) return ReportError(reason);
  if (options->print_config) std::fputs(settings->Print().c_str(), stdout);
  if (options->check_config || options->print_config) return 0;
  return RunDaemon(*settings, options->config);
}

}  // namespace
}  // namespace wisteriayoke

int main(int argc, const char** argv) { return wisteriayoke::Main(argc, argv); }
