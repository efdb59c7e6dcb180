#ifndef WISTERIAYOKE_WIRE_HTTP_MESSAGE_H_
#define WISTERIAYOKE_WIRE_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace wisteriayoke {

/// One header field of an HTTP message.
struct HttpField {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they appear in the message.
using HttpFields = std::vector<HttpField>;

/// A complete HTTP request.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpFields fields;
  std::string body;
  bool keep_alive = true;
};

/// Status line and header fields of a response.
struct HttpResponseHead {
  int status = 200;
  HttpFields fields;
};

/// A complete HTTP response.
struct HttpResponse {
  HttpResponseHead head;
  std::string body;
};

/// Returns whether two names of header fields are equal, ignoring case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the value of the first field called `name`, ignoring case, or "".
std::string_view FindField(const HttpFields& fields, std::string_view name);

/// Returns the path of `target`, without the query.
std::string_view PathOf(std::string_view target);

/// Returns whether a header field can have exactly `text` as its value: it
/// isn't empty, has no control character and no blank at its ends (RFC
/// 9110, 5.5).
bool IsFieldValue(std::string_view text);

/// Returns whether the field called `name` must not be forwarded: it is a
/// hop-by-hop field, Content-Length or Host.
bool IsHopByHop(std::string_view name);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_MESSAGE_H_
