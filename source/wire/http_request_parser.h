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

/// Limits of one HTTP message.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024 * 1024;
  /// Whether a response without length or chunks may end with its connection.
  bool allow_close_delimited = false;
};

/// Parses the requests of one connection incrementally.
///
/// Wraps Boost.Beast's parser, which needs no socket, so that the sessions on
/// the event loop do all input and output. The result doesn't depend on how
/// the bytes are split between calls of `Push`.
class HttpRequestParser {
 public:
  explicit HttpRequestParser(HttpLimits limits);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /// Adds received bytes.
  void Push(std::string_view data);

  /// Returns the next complete request. Returns nothing if more bytes are
  /// needed (the reason is kOk) or if the input is invalid (kMalformedHttp,
  /// kHeaderTooLarge or kBodyTooLarge), after which the parser is unusable.
  std::optional<HttpRequest> Next(LastReason& reason);

  /// Returns whether bytes were received that `Next` has not returned yet.
  bool InMessage() const;

  /// Returns the number of received bytes that are not parsed yet.
  std::size_t CountUnparsedBytes() const { return input_.size() - parsed_; }

  /// Returns the memory held for requests that `Next` has not returned yet;
  /// buffers count by their capacity.
  std::size_t CountHeldBytes() const;

  /// Drops all input and the request it belongs to.
  void Release();

 private:
  struct State;

  bool ParseHeader(LastReason& reason);
  bool ParseBody(LastReason& reason);
  std::string_view Unparsed() const {
    const std::string_view input = input_;
    return input.substr(parsed_);
  }
  void Consume(std::size_t bytes);
  void DropParsed();

  HttpLimits limits_;
  std::string input_;
  std::size_t parsed_ = 0;  ///< Bytes of `input_` that were parsed.
  std::unique_ptr<State> state_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_REQUEST_PARSER_H_
