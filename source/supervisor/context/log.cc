#include "supervisor/context/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace wisteriayoke {
namespace {

std::string QuoteIfNeeded(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"=\n") == std::string::npos) {
    return value;
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

LogLevel g_least_level = LogLevel::kInfo;

}  // namespace

void ConfigureLog(LogLevel least, const std::string& process) {
  g_least_level = least;
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

void LogEvent(LogLevel level, std::string_view event, ResultCode code,
              std::initializer_list<LogField> fields) {
  if (level < g_least_level) return;
  std::string line = "event=" + std::string(event);
  line += " code=" + std::to_string(static_cast<int>(code));
  for (const auto& field : fields) {
    line += " " + std::string(field.name) + "=" + QuoteIfNeeded(field.value);
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
