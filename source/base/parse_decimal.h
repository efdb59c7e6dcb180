#ifndef WISTERIAYOKE_BASE_PARSE_DECIMAL_H_
#define WISTERIAYOKE_BASE_PARSE_DECIMAL_H_

#include <charconv>
#include <optional>
#include <string_view>

namespace wisteriayoke {

/// Parses all of `text` as a decimal number. Returns nothing if it isn't one
/// or is negative.
inline std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_PARSE_DECIMAL_H_
