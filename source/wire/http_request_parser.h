#ifndef WISTERIAYOKE_WIRE_HTTP_REQUEST_PARSER_H_
#define WISTERIAYOKE_WIRE_HTTP_REQUEST_PARSER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Bounds on one message, in bytes.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024 * 1024;
  /// Whether a response without a length or chunks may end with its connection.
  bool allow_close_delimited = false;
};

/// Parses the requests of one connection from pieces of any size.
///
/// Wraps Boost.Beast's parser, which needs no socket, so that the loop's
/// sessions own all input and output. What is accepted doesn't depend on how
/// the bytes are cut into pieces.
class HttpRequestParser {
 public:
  explicit HttpRequestParser(HttpLimits limits);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /// Adds received bytes.
  void Push(std::string_view data);

  /// Returns the next whole request. Returns nothing if more bytes are needed
  /// (the reason is kOk) or if the input is bad (kMalformedHttp,
  /// kHeaderTooLarge or kBodyTooLarge); after that the connection is unusable.
  std::optional<HttpRequest> Next(LastReason& reason);

  /// Tells whether a request has begun but is not whole.
  bool InMessage() const;

 private:
  struct State;

  bool PassHeader(LastReason& reason);
  bool PassBody(LastReason& reason);

  HttpLimits limits_;
  std::string input_;
  std::unique_ptr<State> state_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_REQUEST_PARSER_H_
