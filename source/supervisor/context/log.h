#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

#include "base/names_table.h"
#include "base/result_code.h"

namespace wisteriayoke {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

inline constexpr auto kLogLevelNames = MakeNamesTable<LogLevel>({
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
});

/// One named value of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// Sets up logging to standard output for the whole process.
void ConfigureLog(LogLevel min_level, const std::string& process);

/// Returns how many lines were dropped since the start of the process.
std::uint64_t CountDroppedLogLines();

/// Logs one event as one line of fields. Never blocks: a line is dropped and
/// counted if its level exceeds its rate or standard output can't take it.
void LogEvent(LogLevel level, std::string_view event, ResultCode code,
              std::span<const LogField> fields);
inline void LogEvent(LogLevel level, std::string_view event, ResultCode code,
                     std::initializer_list<LogField> fields) {
  LogEvent(level, event, code, std::span(fields.begin(), fields.size()));
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_H_
