#ifndef WISTERIAYOKE_RUNTIME_HTTP_CLIENT_CALL_H_
#define WISTERIAYOKE_RUNTIME_HTTP_CLIENT_CALL_H_

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "base/last_reason.h"
#include "decisions/table_spec.h"
#include "runtime/event_loop.h"
#include "wire/http_response_parser.h"

namespace wisteriayoke {

/// The head of the response was received.
struct CallHead {
  HttpResponseHead head;
};

/// Some bytes of the response's body were received.
struct CallBodyData {
  std::string data;
};

/// The response is complete. No event follows.
struct CallEnd {};

/// The call failed. No event follows.
struct CallFailure {
  ResultCode code = ResultCode::kOk;
  std::string message;
  bool sent = false;  ///< Whether any byte of the request may have been sent.
};

using CallEvent = std::variant<CallHead, CallBodyData, CallEnd, CallFailure>;

/// Limits of one call.
struct HttpCallLimits {
  HttpLimits message{.body_bytes = 64 * 1024 * 1024};
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// Longest wait for the next byte of the response.
  Duration idle_timeout = std::chrono::seconds(30);
  /// Longest time for the whole call, however its bytes arrive; zero for none.
  Duration total_timeout{};
  /// Whether closing the connection resets it, which discards unsent bytes, so
  /// that nothing reaches the server afterwards.
  bool reset_on_close = false;
};

/// One HTTP request to another process over a connection of its own. The object
/// keeps itself alive until the call ends.
class HttpClientCall : public std::enable_shared_from_this<HttpClientCall> {
 public:
  using Handler = std::function<void(CallEvent)>;

  /// Connects to `endpoint` and sends `request`. `handler` is called with each
  /// event, at the earliest on the next turn of the loop.
  static std::shared_ptr<HttpClientCall> Start(EventLoop& loop,
                                               const Endpoint& endpoint,
                                               HttpRequest request,
                                               HttpCallLimits limits,
                                               Handler handler);

  /// Closes the connection; no event follows.
  void Cancel();

  /// Stops reading until `Resume`, so that TCP flow control stops the sender.
  /// Bytes already read may still be delivered; the idle timeout does not run.
  void Pause();
  void Resume();

  /// Sets the longest wait for the next byte, from the next read on.
  void set_idle_timeout(Duration timeout) { limits_.idle_timeout = timeout; }

  HttpClientCall(EventLoop& loop, HttpCallLimits limits, bool sends_head,
                 Handler handler);
  ~HttpClientCall();
  HttpClientCall(const HttpClientCall&) = delete;
  HttpClientCall& operator=(const HttpClientCall&) = delete;

 private:
  static constexpr std::size_t kReadBytes = 16 * 1024;
  /// What a call holds besides its input and output.
  static constexpr std::size_t kCallBytes = 4 * 1024;

  void Connect(const Endpoint& endpoint, HttpRequest request);
  template <typename Call>
  void RunGuardedOrClose(const Call& call);
  void Send();
  void Read();
  void HandleReadable();
  void ReleaseOutput();
  void UpdateMemory();
  void HandleRead(std::string_view data);
  void HandleReadEnd(const asio::error_code& error);
  void Deliver();
  void Fail(ResultCode code, std::string message);
  void Finish(CallEvent event);
  void ArmTimer(Duration limit);
  LoopTimerPtr ScheduleTimeout(Duration limit);
  void Close();

  EventLoop& loop_;
  HttpCallLimits limits_;
  Handler handler_;
  asio::ip::tcp::socket socket_;
  HttpResponseParser parser_;
  MemoryGuard::HolderId holder_;
  std::string head_;
  std::string body_;
  LoopTimerPtr timer_;
  LoopTimerPtr total_timer_;
  bool sent_ = false;
  bool head_delivered_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool closed_ = false;
};

/// A complete response, or the result code and message of the failure.
struct FetchResult {
  ResultCode code = ResultCode::kOk;
  std::string message;
  bool sent = false;  ///< Whether any byte of the request may have been sent.
  HttpResponse response;
};

/// Sends `request` and calls `done` once, with the complete response or the
/// failure. `done` is not called if the returned call is cancelled.
std::shared_ptr<HttpClientCall> FetchResponse(
    EventLoop& loop, const Endpoint& endpoint, HttpRequest request,
    HttpCallLimits limits, std::function<void(FetchResult)> done);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_HTTP_CLIENT_CALL_H_
