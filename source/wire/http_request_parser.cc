#include "wire/http_request_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisteriayoke {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

/// Chunked framing may at most double a body of the limit.
constexpr std::uint64_t kFramingFactor = 2;

void Explain(const boost::system::error_code& error, LastReason& reason) {
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
    // `Next` bounds the header; Beast would do so by how the bytes are cut.
    parser.header_limit(limits.header_bytes + 1);
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
  }

  HttpRequest Take() {
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

  http::request_parser<http::string_body> parser;
  std::uint64_t body_bytes_used = 0;  ///< Of the input, after the header.
};

HttpRequestParser::HttpRequestParser(HttpLimits limits)
    : limits_(limits), state_(std::make_unique<State>(limits)) {}

HttpRequestParser::~HttpRequestParser() = default;

void HttpRequestParser::Push(std::string_view data) { input_.append(data); }

std::optional<HttpRequest> HttpRequestParser::Next(LastReason& reason) {
  reason.Clear();
  if (!state_->parser.is_header_done() && !PassHeader(reason)) {
    return std::nullopt;
  }
  if (!PassBody(reason) || !state_->parser.is_done()) return std::nullopt;
  HttpRequest request = state_->Take();
  state_ = std::make_unique<State>(limits_);
  return request;
}

bool HttpRequestParser::PassHeader(LastReason& reason) {
  const std::size_t end = input_.find(kHeaderEnd);
  const bool whole = end != std::string::npos;
  const std::size_t size = whole ? end + kHeaderEnd.size() : input_.size();
  if (size > limits_.header_bytes) {
    Explain(http::error::header_limit, reason);
    return false;
  }
  if (!whole) return false;
  boost::system::error_code error;
  state_->parser.put(boost::asio::const_buffer(input_.data(), size), error);
  input_.erase(0, size);
  // The end of a header that Beast finds incomplete lies in a damaged line.
  if (!error && !state_->parser.is_header_done()) {
    error = http::error::bad_value;
  }
  if (error &&
      (error != http::error::need_more || !state_->parser.is_header_done())) {
    Explain(error, reason);
    return false;
  }
  return true;
}

bool HttpRequestParser::PassBody(LastReason& reason) {
  boost::system::error_code error;
  if (!state_->parser.is_done() && !input_.empty()) {
    const std::size_t used = state_->parser.put(
        boost::asio::const_buffer(input_.data(), input_.size()), error);
    input_.erase(0, used);
    state_->body_bytes_used += used;
  }
  const std::uint64_t seen =
      state_->body_bytes_used + (state_->parser.is_done() ? 0 : input_.size());
  if (seen > kFramingFactor * limits_.body_bytes + limits_.header_bytes) {
    error = http::error::body_limit;
  }
  if (!error || error == http::error::need_more) return true;
  Explain(error, reason);
  return false;
}

bool HttpRequestParser::InMessage() const {
  return !input_.empty() || state_->parser.got_some();
}

}  // namespace wisteriayoke
