#include "wire/http_framing.h"

#include <boost/beast/core/string.hpp>

namespace wisteriayoke {

bool HasClearFraming(const boost::beast::http::fields& fields,
                     unsigned version) {
  namespace http = boost::beast::http;
  constexpr unsigned kHttp11 = 11;
  const auto codings = fields.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  return codings == 1 && version >= kHttp11 &&
         fields.count(http::field::content_length) == 0 &&
         boost::beast::iequals(fields[http::field::transfer_encoding],
                               "chunked");
}

}  // namespace wisteriayoke
