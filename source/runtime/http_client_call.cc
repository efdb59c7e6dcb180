#include "runtime/http_client_call.h"

#include <array>
#include <asio/write.hpp>
#include <utility>

#include "base/fault.h"
#include "base/overloaded.h"
#include "wire/http_encode.h"

namespace wisteriayoke {

std::shared_ptr<HttpClientCall> HttpClientCall::Start(EventLoop& loop,
                                                      const Endpoint& endpoint,
                                                      HttpRequest request,
                                                      HttpCallLimits limits,
                                                      Handler handler) {
  auto call = std::make_shared<HttpClientCall>(
      loop, limits, request.method == "HEAD", std::move(handler));
  call->Connect(endpoint, std::move(request));
  return call;
}

HttpClientCall::HttpClientCall(EventLoop& loop, HttpCallLimits limits,
                               bool sends_head, Handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      socket_(loop.context()),
      parser_(limits.message, sends_head),
      holder_(loop.memory().AddCall()) {}

HttpClientCall::~HttpClientCall() { loop_.memory().Remove(holder_); }

void HttpClientCall::Connect(const Endpoint& endpoint, HttpRequest request) {
  request.keep_alive = false;
  head_ = EncodeRequestHead(request, endpoint.ToString());
  body_ = std::move(request.body);
  UpdateMemory();
  // A call takes the descriptor of an idle connection if there is no other.
  MemoryGuard& memory = loop_.memory();
  if (!memory.HasRoomForSession(true)) memory.CloseIdleSession();
  asio::error_code error;
  const auto address = asio::ip::make_address(endpoint.host, error);
  if (error) {
    // On a later turn of the loop, as `Start` promises.
    return loop_.Post([self = shared_from_this(), error] {
      if (self->closed_) return;
      self->Fail(ResultCode::kConnectFailed, error.message());
    });
  }
  ArmTimer(limits_.connect_timeout);
  if (limits_.total_timeout > Duration::zero()) {
    total_timer_ = ScheduleTimeout(limits_.total_timeout);
  }
  socket_.async_connect(
      {address, endpoint.port},
      [self = shared_from_this()](const asio::error_code& failure) {
        if (self->closed_) return;
        self->RunGuardedOrClose([&self, &failure] {
          if (!failure) return self->Send();
          self->Fail(ResultCode::kConnectFailed, failure.message());
        });
      });
}

/// Runs `call`, and closes the connection if it throws.
template <typename Call>
void HttpClientCall::RunGuardedOrClose(const Call& call) {
  if (!RunGuarded(FaultBoundary::kClientCall, call)) Close();
}

void HttpClientCall::Send() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (limits_.reset_on_close) {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket_.non_blocking(true, ignored);
  sent_ = true;
  ArmTimer(limits_.idle_timeout);
  const std::array<asio::const_buffer, 2> output = {asio::buffer(head_),
                                                    asio::buffer(body_)};
  asio::async_write(socket_, output,
                    [self = shared_from_this()](const asio::error_code& error,
                                                std::size_t /*size*/) {
                      self->ReleaseOutput();
                      if (self->closed_ || !error) return;
                      self->RunGuardedOrClose([&self, &error] {
                        self->Fail(ResultCode::kConnectionBroken,
                                   error.message());
                      });
                    });
  Read();
}

void HttpClientCall::Pause() {
  paused_ = true;
  if (sent_) timer_.reset();
}

void HttpClientCall::Resume() {
  if (!paused_) return;
  paused_ = false;
  if (closed_ || !sent_) return;
  ArmTimer(limits_.idle_timeout);
  if (!reading_) Read();
}

void HttpClientCall::Read() {
  reading_ = true;
  // Waiting needs no buffer, so a call that waits holds none.
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const asio::error_code& error) {
        self->reading_ = false;
        if (self->closed_) return;
        self->RunGuardedOrClose([&self, &error] {
          if (error) return self->HandleReadEnd(error);
          self->HandleReadable();
        });
      });
}

void HttpClientCall::HandleReadable() {
  std::array<char, kReadBytes> buffer;  // NOLINT: bytes are read into it.
  asio::error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) return Read();
  if (error) return HandleReadEnd(error);
  HandleRead({buffer.data(), size});
  UpdateMemory();
}

/// Frees the request once it was sent.
void HttpClientCall::ReleaseOutput() {
  head_ = {};
  body_ = {};
  UpdateMemory();
}

/// Tells the budget what this call holds.
void HttpClientCall::UpdateMemory() {
  if (closed_) return;
  const std::uint64_t input = parser_.CountHeldBytes();
  loop_.memory().Update(holder_, {.total_bytes = kCallBytes + head_.capacity() +
                                                 body_.capacity() + input,
                                  .input_bytes = input});
}

void HttpClientCall::HandleRead(std::string_view data) {
  LastReason reason;
  if (!parser_.Push(data, reason)) {
    return Fail(reason.code(), reason.message());
  }
  ArmTimer(limits_.idle_timeout);
  Deliver();
  if (closed_) return;
  if (parser_.done()) return Finish(CallEnd{});
  if (paused_) return timer_.reset();
  if (!reading_) Read();
}

void HttpClientCall::HandleReadEnd(const asio::error_code& error) {
  if (error != asio::error::eof) {
    return Fail(ResultCode::kConnectionBroken, error.message());
  }
  LastReason reason;
  if (!parser_.PushEnd(reason)) return Fail(reason.code(), reason.message());
  Deliver();
  if (!closed_) Finish(CallEnd{});
}

void HttpClientCall::Deliver() {
  const auto self = shared_from_this();
  if (!head_delivered_ && parser_.head_done()) {
    head_delivered_ = true;
    handler_(CallHead{parser_.Head()});
  }
  if (closed_ || !head_delivered_) return;
  std::string data = parser_.TakeBody();
  if (!data.empty()) handler_(CallBodyData{std::move(data)});
}

void HttpClientCall::Fail(ResultCode code, std::string message) {
  Finish(CallFailure{code, std::move(message), sent_});
}

void HttpClientCall::Finish(CallEvent event) {
  const auto handler = handler_;
  Close();
  handler(std::move(event));
}

void HttpClientCall::Cancel() { Close(); }

void HttpClientCall::ArmTimer(Duration limit) {
  timer_ = ScheduleTimeout(limit);
}

LoopTimerPtr HttpClientCall::ScheduleTimeout(Duration limit) {
  return loop_.Schedule(limit, [this] {
    Fail(ResultCode::kTimedOut,
         sent_ ? "the response took too long" : "the connection took too long");
  });
}

void HttpClientCall::Close() {
  if (closed_) return;
  closed_ = true;
  loop_.memory().Remove(holder_);
  timer_.reset();
  total_timer_.reset();
  // The handler may be running, so it is destroyed on a later turn of the loop.
  loop_.Post([self = shared_from_this()] { self->handler_ = nullptr; });
  asio::error_code ignored;
  socket_.close(ignored);
}

std::shared_ptr<HttpClientCall> FetchResponse(
    EventLoop& loop, const Endpoint& endpoint, HttpRequest request,
    HttpCallLimits limits, std::function<void(FetchResult)> done) {
  auto result = std::make_shared<FetchResult>();
  return HttpClientCall::Start(
      loop, endpoint, std::move(request), limits,
      [result, done = std::move(done)](CallEvent event) {
        std::visit(Overloaded{
                       [&result](CallHead& head) {
                         result->sent = true;
                         result->response.head = std::move(head.head);
                       },
                       [&result](CallBodyData& received) {
                         result->response.body += received.data;
                       },
                       [&result, &done](CallEnd&) { done(std::move(*result)); },
                       [&result, &done](CallFailure& failure) {
                         result->code = failure.code;
                         result->message = std::move(failure.message);
                         result->sent = failure.sent;
                         done(std::move(*result));
                       },
                   },
                   event);
      });
}

}  // namespace wisteriayoke
