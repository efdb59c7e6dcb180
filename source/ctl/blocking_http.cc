#include "ctl/blocking_http.h"

#include <utility>

#include "runtime/http_client_call.h"

namespace wisteriayoke {
namespace {

ResultCode CodeOfFailure(const FetchResult& result) {
  if (!result.sent) return ResultCode::kConnectFailed;
  return result.code == ResultCode::kTimedOut ? ResultCode::kTimedOut
                                              : ResultCode::kConnectionBroken;
}

}  // namespace

std::optional<HttpResponse> FetchBlocking(const Endpoint& endpoint,
                                          const HttpRequest& request,
                                          Duration timeout,
                                          LastReason& reason) {
  EventLoop loop;
  return FetchBlocking(loop, endpoint, request, timeout, reason);
}

std::optional<HttpResponse> FetchBlocking(EventLoop& loop,
                                          const Endpoint& endpoint,
                                          const HttpRequest& request,
                                          Duration timeout,
                                          LastReason& reason) {
  HttpCallLimits limits;
  limits.message.allow_close_delimited = true;
  limits.connect_timeout = timeout;
  limits.idle_timeout = timeout;
  FetchResult result;
  FetchResponse(loop, endpoint, request, limits,
                [&loop, &result](FetchResult fetched) {
                  result = std::move(fetched);
                  loop.Stop();
                });
  loop.Run();
  if (result.code == ResultCode::kOk) return std::move(result.response);
  reason.Set(CodeOfFailure(result), "no answer from " + endpoint.ToString() +
                                        ": " + result.message + ".");
  return std::nullopt;
}

}  // namespace wisteriayoke
