#ifndef WISTERIAYOKE_WIRE_HTTP_MESSAGE_H_
#define WISTERIAYOKE_WIRE_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace wisteriayoke {

/// One header field of a message.
struct HttpField {
  std::string name;
  std::string value;
};

/// Header fields in the order of the message.
using HttpFields = std::vector<HttpField>;

/// A whole HTTP request.
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

/// A whole HTTP response.
struct HttpResponse {
  HttpResponseHead head;
  std::string body;
};

/// Compares names of header fields.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the value of the first field called `name`, in any case, or "".
std::string_view FindField(const HttpFields& fields, std::string_view name);

/// Returns the path of `target`, without the query.
std::string_view PathOf(std::string_view target);

/// Tells whether hop-by-hop rules forbid passing the field on.
bool IsHopByHop(std::string_view name);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_MESSAGE_H_
