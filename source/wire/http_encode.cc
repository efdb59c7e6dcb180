#include "wire/http_encode.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "wire/uri_codec.h"

namespace wisteriayoke {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

template <typename Message>
std::string ToText(const Message& message) {
  std::ostringstream out;
  out << message;
  return out.str();
}

/// Returns whether an answer with `status` has no body.
bool ForbidsBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status / 100 == 1 || status == kNoContent || status == kNotModified;
}

/// Returns whether requests of `method` tell their length even without a body.
bool ExpectsBody(http::verb method) {
  return method == http::verb::post || method == http::verb::put ||
         method == http::verb::options;
}

/// Returns whether `byte` would end a field or the head (RFC 9110, 5.5).
bool EndsField(char byte) {
  return byte == '\r' || byte == '\n' || byte == '\0';
}

/// Returns `value` with blanks in place of the bytes that would end the field.
/// The result refers to `value` if it has none, else to `cleaned`.
std::string_view CleanFieldValue(std::string_view value, std::string& cleaned) {
  if (std::none_of(value.begin(), value.end(), EndsField)) return value;
  cleaned = value;
  std::replace_if(cleaned.begin(), cleaned.end(), EndsField, ' ');
  return cleaned;
}

template <typename Message>
void CopyFields(const HttpFields& fields, Message& message) {
  std::string cleaned;
  for (const auto& field : fields) {
    message.insert(field.name, CleanFieldValue(field.value, cleaned));
  }
}

}  // namespace

std::string EncodeRequestHead(const HttpRequest& request,
                              std::string_view host) {
  http::request<http::empty_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(EncodeTarget(request.target));
  CopyFields(request.fields, message);
  if (message[http::field::host].empty()) {
    std::string cleaned;
    message.set(http::field::host, CleanFieldValue(host, cleaned));
  }
  message.keep_alive(request.keep_alive);
  // Beast's prepare_payload() throws for a body that the method doesn't allow.
  if (request.body.empty() && !ExpectsBody(message.method())) {
    message.content_length(boost::none);
  } else {
    message.content_length(request.body.size());
  }
  return ToText(message.base());
}

std::string EncodeRequest(const HttpRequest& request, std::string_view host) {
  return EncodeRequestHead(request, host) + request.body;
}

std::string EncodeResponse(const HttpResponse& response, bool keep_alive,
                           bool answers_head) {
  http::response<http::string_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.head.status));
  CopyFields(response.head.fields, message);
  message.keep_alive(keep_alive);
  if (!ForbidsBody(response.head.status)) message.body() = response.body;
  message.content_length(message.body().size());
  return answers_head ? ToText(message.base()) : ToText(message);
}

std::string EncodeChunkedHead(const HttpResponseHead& head, bool keep_alive) {
  http::response<http::empty_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(head.status));
  CopyFields(head.fields, message);
  message.keep_alive(keep_alive);
  message.chunked(true);
  return ToText(message.base());
}

std::string EncodeChunk(std::string_view data) {
  return boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::const_buffer(data.data(), data.size())));
}

std::string EncodeLastChunk() {
  return boost::beast::buffers_to_string(http::make_chunk_last());
}

}  // namespace wisteriayoke
