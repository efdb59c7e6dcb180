#include "wire/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "base/control_character.h"

namespace wisteriayoke {
namespace {

/// Hop-by-hop fields, and the fields that the encoder sets itself.
constexpr auto kHopByHopFields = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
     "te", "trailer", "transfer-encoding", "upgrade", "content-length",
     "host"});

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

std::string_view FindField(const HttpFields& fields, std::string_view name) {
  for (const auto& field : fields) {
    if (EqualsIgnoringCase(field.name, name)) return field.value;
  }
  return {};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

bool IsFieldValue(std::string_view text) {
  if (text.empty() || text.front() == ' ' || text.back() == ' ') return false;
  return std::none_of(text.begin(), text.end(), IsControlCharacter);
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                     [name](std::string_view field) {
                       return EqualsIgnoringCase(field, name);
                     });
}

}  // namespace wisteriayoke
