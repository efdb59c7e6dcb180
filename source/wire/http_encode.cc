#include "wire/http_encode.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

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

template <typename Message>
void CopyFields(const HttpFields& fields, Message& message) {
  for (const auto& field : fields) message.insert(field.name, field.value);
}

}  // namespace

std::string EncodeRequest(const HttpRequest& request, std::string_view host) {
  http::request<http::string_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.target);
  CopyFields(request.fields, message);
  if (message[http::field::host].empty()) message.set(http::field::host, host);
  message.keep_alive(request.keep_alive);
  message.body() = request.body;
  message.prepare_payload();
  return ToText(message);
}

std::string EncodeResponse(const HttpResponse& response, bool keep_alive,
                           bool answers_head) {
  http::response<http::string_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.head.status));
  CopyFields(response.head.fields, message);
  message.keep_alive(keep_alive);
  message.body() = response.body;
  message.prepare_payload();
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
