#ifndef WISTERIAYOKE_WIRE_HTTP_FRAMING_H_
#define WISTERIAYOKE_WIRE_HTTP_FRAMING_H_

#include <boost/beast/http/fields.hpp>

namespace wisteriayoke {

/// Returns whether the end of a message can be told from its header `fields`
/// and its HTTP version (10 or 11), as RFC 9112, 6.1 and 6.3, has it. The only
/// transfer coding that is taken is "chunked", alone, in HTTP/1.1, and without
/// a length beside it.
bool HasClearFraming(const boost::beast::http::fields& fields,
                     unsigned version);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_FRAMING_H_
