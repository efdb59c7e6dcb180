#include "wire/http_response_parser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "wire/http_framing.h"
#include "wire/http_head_scanner.h"
#include "wire/http_parser_input.h"

namespace wisteriayoke {
namespace {

namespace http = boost::beast::http;

using Parser = http::response_parser<http::string_body>;

/// Returns whether a status line may begin with `input`.
bool MayBeStatusLine(std::string_view input) {
  constexpr std::string_view kStart = "HTTP/";
  const std::size_t size = std::min(input.size(), kStart.size());
  return input.substr(0, size) == kStart.substr(0, size);
}

/// Returns whether `status` has one of the classes of RFC 9110, 15. Beast takes
/// any three digits.
bool IsValidStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

/// Returns why the head that `parser` was given can't be used, if it can't.
boost::system::error_code CheckHead(const Parser& parser) {
  // If Beast doesn't see the end of the head, it is part of a malformed line.
  if (!parser.is_header_done()) return http::error::bad_value;
  const auto& head = parser.get();
  if (!IsValidStatus(head.result_int())) return http::error::bad_status;
  // No request asks for another protocol, so that none may follow.
  if (head.result() == http::status::switching_protocols) {
    return http::error::bad_status;
  }
  if (!HasClearFraming(head, head.version())) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

HttpResponseHead CopyHead(const Parser& parser) {
  const auto& message = parser.get();
  HttpResponseHead head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

}  // namespace

struct HttpResponseParser::State {
  State(const HttpLimits& limits, bool answers_head) {
    // `ParseHead` enforces the limit; Beast's check depends on how input is
    // split.
    parser.header_limit(limits.header_bytes + 1);
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
    parser.skip(answers_head);
  }

  Parser parser;
  HttpHeadScanner scanner;
  std::size_t scanned_input = 0;  ///< Bytes of the input that were scanned.
  bool has_status_line = false;   ///< Whether it was parsed.
};

HttpResponseParser::HttpResponseParser(HttpLimits limits, bool answers_head)
    : limits_(limits),
      answers_head_(answers_head),
      state_(std::make_unique<State>(limits, answers_head)) {}

HttpResponseParser::~HttpResponseParser() = default;

bool HttpResponseParser::Push(std::string_view data, LastReason& reason) {
  input_.append(data);
  boost::system::error_code error;
  bool progress = true;
  while (progress && !error && !input_.empty() && !done()) {
    progress = head_ ? ParseBody(error) : ParseHead(error);
  }
  if (!error) return true;
  reason.Set(ResultCode::kMalformedHttp,
             "the response is not HTTP/1.1: " + error.message());
  return false;
}

/// Parses the head by itself, since Beast adds the fields of a trailer to those
/// of the head. Skips interim responses. Returns whether a head is complete.
bool HttpResponseParser::ParseHead(boost::system::error_code& error) {
  const std::string_view input = input_;
  const std::size_t scanned =
      state_->scanner.Scan(input.substr(state_->scanned_input));
  state_->scanned_input += scanned;
  head_bytes_ += scanned;
  if (head_bytes_ > limits_.header_bytes) {
    error = http::error::header_limit;
    return false;
  }
  // Beast adds such a line to the field before. It is obsolete, and the name of
  // a field that begins with a blank looks the same.
  if (state_->scanner.has_continued_line()) {
    error = http::error::bad_value;
    return false;
  }
  // Beast looks at no fewer bytes than the whole version.
  if (!state_->has_status_line && !MayBeStatusLine(input)) {
    error = http::error::bad_version;
    return false;
  }
  // What can't be a head is refused before its end has arrived.
  const std::size_t used =
      PutInput(state_->parser, input.substr(0, state_->scanned_input), error);
  input_.erase(0, used);
  state_->scanned_input -= used;
  state_->has_status_line = state_->has_status_line || used > 0;
  if (error == http::error::need_more) error.clear();
  if (error || !state_->scanner.ended()) return false;
  error = CheckHead(state_->parser);
  if (error) return false;
  const unsigned status = state_->parser.get().result_int();
  if (http::to_status_class(status) == http::status_class::informational) {
    state_ = std::make_unique<State>(limits_, answers_head_);
  } else {
    head_ = CopyHead(state_->parser);
  }
  return true;
}

/// Returns whether any input was parsed.
bool HttpResponseParser::ParseBody(boost::system::error_code& error) {
  const std::size_t used = PutInput(state_->parser, input_, error);
  input_.erase(0, used);
  if (error == http::error::need_more) error.clear();
  if (used == 0 && input_.size() > limits_.header_bytes) {
    error = http::error::header_limit;
  }
  return used > 0;
}

bool HttpResponseParser::PushEnd(LastReason& reason) {
  if (done()) return true;
  const bool close_delimited = head_done() && state_->parser.need_eof();
  if (close_delimited && limits_.allow_close_delimited) return true;
  reason.Set(ResultCode::kConnectionBroken,
             close_delimited
                 ? "the response has neither a length nor chunks, so its "
                   "end can't be told from a broken connection; let the "
                   "upstream send one of them"
                 : "the connection ended before the response did");
  return false;
}

bool HttpResponseParser::done() const { return state_->parser.is_done(); }

std::string HttpResponseParser::TakeBody() {
  return std::exchange(state_->parser.get().body(), {});
}

std::size_t HttpResponseParser::CountHeldBytes() const {
  return input_.capacity() + state_->parser.get().body().capacity();
}

}  // namespace wisteriayoke
