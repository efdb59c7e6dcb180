#include "wire/uri_codec.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace wisteriayoke {
namespace {

namespace urls = boost::urls;

/// The bytes that a target may hold in a request line.
struct TargetChars {
  constexpr bool operator()(char c) const noexcept {
    constexpr unsigned char kDelete = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte != kDelete;
  }
};

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
  return urls::encode(ToUrlText(target), TargetChars());
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
