#include "supervisor/context/metrics_text.h"

#include "base/control_character.h"

namespace wisteriayoke {
namespace {

constexpr std::string_view kPrefix = "wisteriayoke_";

/// The format has no escapes for control characters but the line feed, which
/// are therefore shown as text such as "\x0d".
std::string EscapeValue(std::string_view value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string escaped;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '\n') {
      escaped += "\\n";
    } else if (IsControlCharacter(byte)) {
      escaped += "\\\\x";
      escaped += kDigits[byte >> 4U];
      escaped += kDigits[byte & 0xfU];
    } else {
      if (c == '"' || c == '\\') escaped += '\\';
      escaped += c;
    }
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
