#include "supervisor/context/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>

#include "supervisor/context/log_limiter.h"
#include "supervisor/context/quoted_text.h"

INITIALIZE_EASYLOGGINGPP

namespace wisteriayoke {
namespace {

LogLevel g_min_level = LogLevel::kInfo;
LogLimiter g_limiter;

TimePoint ReadClock() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// Returns whether standard output takes a line without blocking: a writable
/// pipe has room for more than any line.
bool CanWrite() {
  pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
}

}  // namespace

void ConfigureLog(LogLevel min_level, const std::string& process) {
  g_min_level = min_level;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process=" + process +
          " %msg");
  el::Loggers::reconfigureLogger("default", configuration);
}

std::uint64_t CountDroppedLogLines() { return g_limiter.dropped(); }

void LogEvent(LogLevel level, std::string_view event, ResultCode code,
              std::span<const LogField> fields) {
  if (level < g_min_level) return;
  if (!g_limiter.Admit(level, ReadClock())) return;
  if (!CanWrite()) return g_limiter.RecordDropped();
  std::string line = "event=" + std::string(event);
  line += " code=" + std::to_string(static_cast<int>(code));
  for (const auto& field : fields) {
    line += " " + std::string(field.name) + "=" + QuoteIfNeeded(field.value);
  }
  if (const std::uint64_t dropped = g_limiter.TakeUnreportedDrops()) {
    line += " lines_dropped=" + std::to_string(dropped);
  }
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
  }
}

}  // namespace wisteriayoke
