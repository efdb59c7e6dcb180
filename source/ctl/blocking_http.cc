#include "ctl/blocking_http.h"

#include <httplib.h>

namespace wisteriayoke {
namespace {

ResultCode ResultCodeOf(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
      return ResultCode::kConnectFailed;
    case httplib::Error::Read:
      return ResultCode::kTimedOut;
    default:
      return ResultCode::kConnectionBroken;
  }
}

httplib::Request ToHttplibRequest(const HttpRequest& request) {
  httplib::Request sent;
  sent.method = request.method;
  sent.path = request.target;
  for (const auto& field : request.fields) {
    sent.set_header(field.name, field.value);
  }
  sent.body = request.body;
  return sent;
}

HttpResponse FromHttplibResponse(httplib::Response& received) {
  HttpResponse response;
  response.head.status = received.status;
  for (const auto& [name, value] : received.headers) {
    response.head.fields.push_back({name, value});
  }
  response.body = std::move(received.body);
  return response;
}

}  // namespace

std::optional<HttpResponse> FetchBlocking(const Endpoint& endpoint,
                                          const HttpRequest& request,
                                          Duration timeout,
                                          LastReason& reason) {
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  auto result = client.send(ToHttplibRequest(request));
  if (result) return FromHttplibResponse(result.value());
  reason.Set(ResultCodeOf(result.error()),
             "no answer from " + endpoint.ToString() + ": " +
                 httplib::to_string(result.error()) + ".");
  return std::nullopt;
}

}  // namespace wisteriayoke
