#include "supervisor/context/metrics_text.h"

namespace wisteriayoke {
namespace {

constexpr std::string_view kPrefix = "wisteriayoke_";

std::string EscapeValue(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') escaped += '\\';
    escaped += c;
  }
  return escaped;
}

}  // namespace

std::string MetricLabel(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + EscapeValue(value) + "\"";
}

std::string MetricType(std::string_view name, std::string_view type) {
  return "# TYPE " + std::string(kPrefix) + std::string(name) + " " +
         std::string(type) + "\n";
}

std::string MetricLine(std::string_view name, std::string_view labels,
                       std::string_view value) {
  const std::string braced =
      labels.empty() ? "" : "{" + std::string(labels) + "}";
  return std::string(kPrefix) + std::string(name) + braced + " " +
         std::string(value) + "\n";
}

std::string MetricSample(std::string_view name, std::string_view type,
                         std::string_view value) {
  return MetricType(name, type) + MetricLine(name, "", value);
}

}  // namespace wisteriayoke
