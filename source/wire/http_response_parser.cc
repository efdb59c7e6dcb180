#include "wire/http_response_parser.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "wire/http_framing.h"
#include "wire/http_parser_input.h"

namespace wisteriayoke {
namespace {

namespace http = boost::beast::http;

/// Returns whether `status` has one of the classes of RFC 9110, 15. Beast takes
/// any three digits.
bool IsValidStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

}  // namespace

struct HttpResponseParser::State {
  http::response_parser<http::string_body> parser;
};

HttpResponseParser::HttpResponseParser(HttpLimits limits, bool answers_head)
    : limits_(limits), state_(std::make_unique<State>()) {
  state_->parser.header_limit(limits.header_bytes);
  state_->parser.body_limit(limits.body_bytes);
  state_->parser.eager(true);
  state_->parser.skip(answers_head);
}

HttpResponseParser::~HttpResponseParser() = default;

bool HttpResponseParser::Push(std::string_view data, LastReason& reason) {
  input_.append(data);
  const auto& head = state_->parser.get();
  while (!input_.empty() && !done()) {
    boost::system::error_code error;
    const bool head_was_done = head_done();
    const std::size_t used = PutInput(state_->parser, input_, error);
    input_.erase(0, used);
    if (!head_was_done && head_done()) {
      if (!IsValidStatus(head.result_int())) {
        error = http::error::bad_status;
      } else if (!HasClearFraming(head, head.version())) {
        error = http::error::bad_transfer_encoding;
      }
    }
    if (error == http::error::need_more || (!error && used == 0)) {
      if (input_.size() <= limits_.header_bytes) return true;
      error = http::error::header_limit;
    }
    if (error) {
      reason.Set(ResultCode::kMalformedHttp,
                 "the response is not HTTP/1.1: " + error.message());
      return false;
    }
  }
  return true;
}

bool HttpResponseParser::PushEnd(LastReason& reason) {
  if (done()) return true;
  const bool close_delimited =
      state_->parser.is_header_done() && state_->parser.need_eof();
  if (close_delimited && limits_.allow_close_delimited) return true;
  reason.Set(ResultCode::kConnectionBroken,
             close_delimited
                 ? "the response has neither a length nor chunks, so its "
                   "end can't be told from a broken connection; let the "
                   "upstream send one of them"
                 : "the connection ended before the response did");
  return false;
}

bool HttpResponseParser::head_done() const {
  return state_->parser.is_header_done();
}

bool HttpResponseParser::done() const { return state_->parser.is_done(); }

HttpResponseHead HttpResponseParser::Head() const {
  const auto& message = state_->parser.get();
  HttpResponseHead head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

std::string HttpResponseParser::TakeBody() {
  return std::exchange(state_->parser.get().body(), {});
}

std::size_t HttpResponseParser::CountHeldBytes() const {
  return input_.capacity() + state_->parser.get().body().capacity();
}

}  // namespace wisteriayoke
