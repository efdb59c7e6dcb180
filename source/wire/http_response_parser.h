#ifndef WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_
#define WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "wire/http_message.h"
#include "wire/http_request_parser.h"

namespace wisteriayoke {

/// Parses one response incrementally and returns its body as it arrives. Skips
/// the interim responses before it, which share its header limit.
class HttpResponseParser {
 public:
  /// `answers_head`: whether the request was a HEAD, so that no body follows.
  explicit HttpResponseParser(HttpLimits limits, bool answers_head = false);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  /// Parses received bytes. Fails with kMalformedHttp if they are not HTTP or
  /// exceed a limit. The header limit also bounds each line between chunks and
  /// the trailer, so that input without an end takes bounded memory.
  bool Push(std::string_view data, LastReason& reason);

  /// Handles the orderly end of the connection. Fails with kConnectionBroken if
  /// the response is incomplete, as is one without a length or chunks unless
  /// `HttpLimits::allow_close_delimited` is set.
  bool PushEnd(LastReason& reason);

  bool head_done() const { return head_.has_value(); }
  bool done() const;

  /// Returns the head, without the fields of a trailer. Call it only if
  /// `head_done()`.
  const HttpResponseHead& Head() const { return *head_; }

  /// Returns the body bytes received since the last call.
  std::string TakeBody();

  /// Returns the memory held for received bytes, by the buffers' capacity.
  std::size_t CountHeldBytes() const;

 private:
  struct State;

  bool ParseHead(boost::system::error_code& error);
  bool ParseBody(boost::system::error_code& error);

  HttpLimits limits_;
  bool answers_head_;
  std::string input_;
  std::size_t head_bytes_ = 0;  ///< Bytes of all heads so far.
  std::optional<HttpResponseHead> head_;
  std::unique_ptr<State> state_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_
