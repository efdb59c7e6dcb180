#include "wire/http_request_parser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "wire/http_framing.h"
#include "wire/http_parser_input.h"

namespace wisteriayoke {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

/// Chunked framing may at most double the bytes of a body.
constexpr std::uint64_t kFramingFactor = 2;

/// Capacity of the input that is kept between requests.
constexpr std::size_t kKeptCapacity = 1024;

/// Memory of a parsed header field besides its text: Beast keeps each in a node
/// of its own.
constexpr std::size_t kFieldBytes = 96;

/// A body that grows as it arrives. Beast's reserves the announced length, so
/// that a mere header would count as a whole body.
struct GrowingBody : http::string_body {
  class reader : public http::string_body::reader {  // NOLINT: Beast's name.
   public:
    using http::string_body::reader::reader;

    // NOLINTNEXTLINE(readability-identifier-naming): Beast's name.
    static void init(const boost::optional<std::uint64_t>& /*length*/,
                     boost::system::error_code& error) {
      error = {};
    }
  };
};

void SetReason(const boost::system::error_code& error, LastReason& reason) {
  if (error == http::error::header_limit) {
    reason.Set(ResultCode::kHeaderTooLarge, "the header is over the limit");
  } else if (error == http::error::body_limit) {
    reason.Set(ResultCode::kBodyTooLarge, "the body is over the limit");
  } else {
    reason.Set(ResultCode::kMalformedHttp,
               "the request is not HTTP/1.1: " + error.message());
  }
}

}  // namespace

struct HttpRequestParser::State {
  explicit State(const HttpLimits& limits) {
    // `Next` enforces the limit; Beast's check depends on how input is split.
    parser.header_limit(limits.header_bytes + 1);
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
  }

  HttpRequest ReleaseRequest() {
    auto message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.keep_alive = message.keep_alive();
    for (const auto& field : message) {
      request.fields.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
  }

  http::request_parser<GrowingBody> parser;
  std::uint64_t body_bytes_used = 0;  ///< Input bytes parsed after the header.
  std::size_t header_bytes = 0;       ///< Memory of the parsed header.
  /// Input bytes in which the end of the header does not begin.
  std::size_t searched_bytes = 0;
};

HttpRequestParser::HttpRequestParser(HttpLimits limits)
    : limits_(limits), state_(std::make_unique<State>(limits)) {}

HttpRequestParser::~HttpRequestParser() = default;

void HttpRequestParser::Push(std::string_view data) {
  // Parsed bytes are dropped once they outweigh the others.
  if (parsed_ > input_.size() / 2) DropParsed();
  input_.append(data);
}

std::optional<HttpRequest> HttpRequestParser::Next(LastReason& reason) {
  reason.Clear();
  if (!state_->parser.is_header_done() && !ParseHeader(reason)) {
    return std::nullopt;
  }
  if (!ParseBody(reason) || !state_->parser.is_done()) return std::nullopt;
  HttpRequest request = state_->ReleaseRequest();
  state_ = std::make_unique<State>(limits_);
  return request;
}

bool HttpRequestParser::ParseHeader(LastReason& reason) {
  const std::string_view input = Unparsed();
  const std::size_t end = input.find(kHeaderEnd, state_->searched_bytes);
  const bool complete = end != std::string_view::npos;
  const std::size_t size = complete ? end + kHeaderEnd.size() : input.size();
  if (size > limits_.header_bytes) {
    SetReason(http::error::header_limit, reason);
    return false;
  }
  if (!complete) {
    // The end may have arrived in part.
    state_->searched_bytes = size - std::min(size, kHeaderEnd.size() - 1);
    return false;
  }
  // A field continued on the next line is obsolete, and parsers differ on it.
  const std::string_view header = input.substr(0, size);
  if (header.find("\r\n ") != std::string_view::npos ||
      header.find("\r\n\t") != std::string_view::npos) {
    SetReason(http::error::bad_value, reason);
    return false;
  }
  boost::system::error_code error;
  PutInput(state_->parser, header, error);
  const auto lines = std::count(header.begin(), header.end(), '\n');
  state_->header_bytes = size + kFieldBytes * static_cast<std::size_t>(lines);
  Consume(size);
  // If Beast doesn't see the end of the header, it is part of a malformed line.
  if (!error && !state_->parser.is_header_done()) {
    error = http::error::bad_value;
  }
  if (error &&
      (error != http::error::need_more || !state_->parser.is_header_done())) {
    SetReason(error, reason);
    return false;
  }
  // Beast takes the body for empty if the last coding isn't "chunked".
  const auto& head = state_->parser.get();
  if (!HasClearFraming(head, head.version())) {
    SetReason(http::error::bad_transfer_encoding, reason);
    return false;
  }
  return true;
}

bool HttpRequestParser::ParseBody(LastReason& reason) {
  boost::system::error_code error;
  while (!error && !state_->parser.is_done() && !Unparsed().empty()) {
    // Beast leaves a line between chunks or a trailer until it is complete. One
    // that doesn't fit into the window is refused however its bytes arrive.
    const std::string_view window = Unparsed().substr(0, limits_.header_bytes);
    const std::size_t used = PutInput(state_->parser, window, error);
    Consume(used);
    state_->body_bytes_used += used;
    if (error == http::error::need_more) error.clear();
    if (used > 0 || error || state_->parser.is_done()) continue;
    if (window.size() < limits_.header_bytes) break;
    error = http::error::header_limit;
  }
  const std::uint64_t received =
      state_->body_bytes_used +
      (state_->parser.is_done() ? 0 : Unparsed().size());
  if (received > kFramingFactor * limits_.body_bytes + limits_.header_bytes) {
    error = http::error::body_limit;
  }
  if (!error) return true;
  if (error == http::error::header_limit) {
    reason.Set(ResultCode::kHeaderTooLarge,
               "a line between chunks or the trailer is over the limit");
    return false;
  }
  SetReason(error, reason);
  return false;
}

bool HttpRequestParser::InMessage() const {
  return !Unparsed().empty() || state_->parser.got_some();
}

std::size_t HttpRequestParser::CountHeldBytes() const {
  return input_.capacity() + state_->header_bytes +
         state_->parser.get().body().capacity();
}

void HttpRequestParser::Release() {
  input_ = {};
  parsed_ = 0;
  state_ = std::make_unique<State>(limits_);
}

void HttpRequestParser::Consume(std::size_t bytes) {
  parsed_ += bytes;
  if (parsed_ == input_.size()) DropParsed();
}

void HttpRequestParser::DropParsed() {
  input_.erase(0, std::exchange(parsed_, 0));
  if (input_.empty() && input_.capacity() > kKeptCapacity) input_ = {};
}

}  // namespace wisteriayoke
