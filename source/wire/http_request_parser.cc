#include "wire/http_request_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisteriayoke {
namespace {

namespace http = boost::beast::http;

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
    parser.header_limit(limits.header_bytes);
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
};

HttpRequestParser::HttpRequestParser(HttpLimits limits)
    : limits_(limits), state_(std::make_unique<State>(limits)) {}

HttpRequestParser::~HttpRequestParser() = default;

void HttpRequestParser::Push(std::string_view data) { input_.append(data); }

std::optional<HttpRequest> HttpRequestParser::Next(LastReason& reason) {
  reason.Clear();
  if (input_.empty()) return std::nullopt;
  boost::system::error_code error;
  const std::size_t used = state_->parser.put(
      boost::asio::const_buffer(input_.data(), input_.size()), error);
  input_.erase(0, used);
  if (error && error != http::error::need_more) {
    Explain(error, reason);
    return std::nullopt;
  }
  if (!state_->parser.is_done()) return std::nullopt;
  HttpRequest request = state_->Take();
  state_ = std::make_unique<State>(limits_);
  return request;
}

bool HttpRequestParser::InMessage() const {
  return !input_.empty() || state_->parser.got_some();
}

}  // namespace wisteriayoke
