#ifndef WISTERIAYOKE_WIRE_HTTP_PARSER_INPUT_H_
#define WISTERIAYOKE_WIRE_HTTP_PARSER_INPUT_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace wisteriayoke {

/// Passes `input` to a parser of Beast and returns the number of bytes used.
/// Sets `error` also for a field whose name or value has more bytes than Beast
/// can store (64 KiB), for which the parser throws.
template <typename Parser>
std::size_t PutInput(Parser& parser, std::string_view input,
                     boost::system::error_code& error) {
  try {
    return parser.put(boost::asio::const_buffer(input.data(), input.size()),
                      error);
  } catch (const std::length_error&) {
    error = boost::beast::http::error::header_limit;
    return input.size();
  }
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_PARSER_INPUT_H_
