#ifndef WISTERIAYOKE_WIRE_URI_CODEC_H_
#define WISTERIAYOKE_WIRE_URI_CODEC_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayoke {

/// Percent-encodes all bytes of `text` but the unreserved characters of
/// RFC 3986, so that it can be one segment of a path or the value of a query's
/// parameter. Forms decode a bare "+" as a blank, hence it is encoded as well.
std::string PercentEncode(std::string_view text);

/// Like `PercentEncode`, but leaves "/" between the segments of `path`.
std::string PercentEncodePath(std::string_view path);

/// Percent-encodes the bytes that would end `target` in a request line: control
/// characters and blanks. Any other target is returned unchanged.
std::string EncodeTarget(std::string_view target);

/// Decodes `text`, which isn't part of a form: a "+" stays one. Returns nullopt
/// for a character that must be encoded or an incomplete escape.
std::optional<std::string> PercentDecode(std::string_view text);

/// A decoded request target.
struct RequestTarget {
  std::string path;
  std::map<std::string, std::string> parameters;
};

/// Decodes a path and its query as a server does, "+" in the query as a blank.
/// Returns nullopt if `target` isn't in origin-form (RFC 9112, 3.2.1).
std::optional<RequestTarget> ParseRequestTarget(std::string_view target);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_URI_CODEC_H_
