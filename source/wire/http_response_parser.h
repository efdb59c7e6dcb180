#ifndef WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_
#define WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/last_reason.h"
#include "wire/http_message.h"
#include "wire/http_request_parser.h"

namespace wisteriayoke {

/// Parses one response and hands out its body as it arrives.
class HttpResponseParser {
 public:
  explicit HttpResponseParser(HttpLimits limits);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  /// Adds received bytes. Fails if they are not HTTP or are over a limit.
  bool Push(std::string_view data, LastReason& reason);

  /// Notes that the other side closed the connection in order. Fails unless the
  /// message is whole; one without a length or chunks is only by the limits.
  bool PushEnd(LastReason& reason);

  bool head_done() const;
  bool done() const;

  /// Returns the head; valid once `head_done()`.
  HttpResponseHead Head() const;

  /// Returns the body bytes that came since the last call.
  std::string TakeBody();

 private:
  struct State;

  bool open_ended_;
  std::string input_;
  std::unique_ptr<State> state_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_WIRE_HTTP_RESPONSE_PARSER_H_
