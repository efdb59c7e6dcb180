#ifndef WISTERIAYOKE_WIRE_HTTP_ENCODE_H_
#define WISTERIAYOKE_WIRE_HTTP_ENCODE_H_

#include <string>
#include <string_view>

#include "wire/http_message.h"

namespace wisteriayoke {

// Targets and field values may hold any text: what would end the request line,
// a field or the head is percent-encoded in a target and a blank in a value.

/// Returns the bytes of a request without its body. Its Host field is set to
/// `host` unless the request has one.
std::string EncodeRequestHead(const HttpRequest& request,
                              std::string_view host);

/// Returns the bytes of a complete request. Its Host field is set to `host`
/// unless the request has one.
std::string EncodeRequest(const HttpRequest& request, std::string_view host);

/// Returns the bytes of a complete response with its Content-Length. The answer
/// to a HEAD has the length of the body but not the body.
std::string EncodeResponse(const HttpResponse& response, bool keep_alive,
                           bool answers_head = false);

/// Returns the bytes of the head of a chunked response.
std::string EncodeChunkedHead(const HttpResponseHead& head, bool keep_alive);

/// Returns `data` as one chunk; `data` must not be empty.
std::string EncodeChunk(std::string_view data);

/// Returns the last chunk, which ends a chunked body.
std::string EncodeLastChunk();

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_ENCODE_H_
