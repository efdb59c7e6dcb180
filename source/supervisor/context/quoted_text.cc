#include "supervisor/context/quoted_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/control_character.h"

namespace wisteriayoke {
namespace {

using Json = nlohmann::json;

bool MustBeQuoted(unsigned char c) {
  constexpr unsigned char kLastAscii = 0x7f;
  return IsControlCharacter(c) || c > kLastAscii || c == ' ' || c == '"' ||
         c == '=';
}

}  // namespace

std::string Quote(std::string_view value) {
  return Json(value).dump(-1, ' ', true, Json::error_handler_t::replace);
}

std::string QuoteIfNeeded(std::string_view value) {
  if (!value.empty() &&
      std::none_of(value.begin(), value.end(), MustBeQuoted)) {
    return std::string(value);
  }
  return Quote(value);
}

std::string UnquoteIfQuoted(std::string_view word) {
  if (!word.starts_with('"')) return std::string(word);
  const Json json = Json::parse(word, nullptr, false);
  if (json.is_string()) return json.get<std::string>();
  word.remove_prefix(1);
  if (word.ends_with('"')) word.remove_suffix(1);
  return std::string(word);
}

}  // namespace wisteriayoke
