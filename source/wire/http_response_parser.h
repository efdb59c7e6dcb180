#ifndef WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_
#define WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "wire/http_message.h"
#include "wire/http_request_parser.h"

namespace wisteriayoke {

/// Parses one response incrementally and returns its body as it arrives.
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

  bool head_done() const;
  bool done() const;

  /// Returns the head. Call it only if `head_done()`.
  HttpResponseHead Head() const;

  /// Returns the body bytes received since the last call.
  std::string TakeBody();

  /// Returns the memory held for received bytes, by the buffers' capacity.
  std::size_t CountHeldBytes() const;

 private:
  struct State;

  HttpLimits limits_;
  std::string input_;
  std::unique_ptr<State> state_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_
