#include "wire/uri_codec.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

#include "base/control_character.h"

namespace wisteriayoke {
namespace {

namespace urls = boost::urls;

/// Returns whether `byte` would end a target in a request line.
bool EndsTarget(unsigned char byte) {
  return byte == ' ' || IsControlCharacter(byte);
}

urls::string_view ToUrlText(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  return urls::encode(ToUrlText(text), urls::unreserved_chars);
}

std::string PercentEncodePath(std::string_view path) {
  constexpr auto kPathChars =
      urls::unreserved_chars + urls::grammar::lut_chars('/');
  return urls::encode(ToUrlText(path), kPathChars);
}

std::string EncodeTarget(std::string_view target) {
  std::string encoded;
  encoded.reserve(target.size());
  // By byte, since Boost.URL encodes "%" as well, which begins an escape here.
  for (const char& byte : target) {
    if (EndsTarget(static_cast<unsigned char>(byte))) {
      encoded += PercentEncode({&byte, 1});
    } else {
      encoded += byte;
    }
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  const auto encoded = urls::make_pct_string_view(ToUrlText(text));
  if (!encoded) return std::nullopt;
  return encoded->decode();
}

std::optional<RequestTarget> ParseRequestTarget(std::string_view target) {
  const auto url = urls::parse_origin_form(ToUrlText(target));
  if (!url) return std::nullopt;
  RequestTarget parsed{.path = url->path()};
  for (const auto& parameter : url->params()) {
    parsed.parameters.emplace(parameter.key, parameter.value);
  }
  return parsed;
}

}  // namespace wisteriayoke
