#include "runtime/http_server_session.h"

#include <array>
#include <asio/buffer.hpp>
#include <utility>

#include "base/fault.h"
#include "wire/http_encode.h"

namespace wisteriayoke {

HttpServerSession::HttpServerSession(EventLoop& loop,
                                     asio::ip::tcp::socket socket,
                                     HttpServerLimits limits, Handler handler,
                                     ErrorHandler error_handler)
    : loop_(loop),
      socket_(std::move(socket)),
      limits_(limits),
      handler_(std::move(handler)),
      error_handler_(std::move(error_handler)),
      parser_(limits.message) {}

HttpServerSession::~HttpServerSession() { loop_.memory().Remove(holder_); }

void HttpServerSession::Start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  holder_ = loop_.memory().AddSession(shared_from_this());
  UpdateMemory();
  ArmReadTimer();
  Read();
}

void HttpServerSession::Read() {
  if (reading_) return;
  reading_ = true;
  // Waiting needs no buffer, so an idle connection holds none.
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const asio::error_code& error) {
        self->reading_ = false;
        if (self->closed_) return;
        if (error) return self->HandleReadEnd();
        self->HandleReadable();
      });
}

void HttpServerSession::HandleReadable() {
  if (!refused_ && !loop_.memory().MayRead(holder_)) {
    parked_ = true;
    return loop_.memory().Park(holder_);
  }
  std::array<char, kReadBytes> buffer;  // NOLINT: bytes are read into it.
  asio::error_code error;
  const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) return Read();
  if (error) return HandleReadEnd();
  if (!refused_) loop_.memory().RecordProgress(holder_, size);
  RunGuardedOrClose([&] { HandleRead({buffer.data(), size}); });
  UpdateMemory();
}

void HttpServerSession::ResumeReading() {
  if (!std::exchange(parked_, false) || closed_) return;
  Read();
}

void HttpServerSession::CloseForMemory(MemoryRule rule) {
  if (closed_) return;
  const bool may_answer = !answering_ && !refused_ && parser_.InMessage() &&
                          CountBufferedBytes() == 0;
  if (!may_answer) return Close();
  LastReason reason;
  reason.Set(ResultCode::kMemoryLimit,
             "the request is incomplete and memory is low (" +
                 std::string(kMemoryRuleNames.NameOf(rule)) + ")");
  Refuse(reason);
}

/// Tells the budget what this connection holds.
void HttpServerSession::UpdateMemory() {
  if (closed_) return;
  const std::uint64_t input = parser_.CountHeldBytes();
  loop_.memory().Update(
      holder_, {.total_bytes = kSessionBytes + input + request_bytes_ +
                               pending_output_.capacity() + writing_.capacity(),
                .input_bytes = input});
}

/// Runs `call`, and closes the connection if it throws.
template <typename Call>
void HttpServerSession::RunGuardedOrClose(const Call& call) {
  if (!RunGuarded(FaultBoundary::kServerSession, call)) Close();
}

void HttpServerSession::HandleRead(std::string_view data) {
  // Input after a refused request is discarded, so that it is never executed.
  if (refused_) return Read();
  parser_.Push(data);
  if (answering_) {
    pipelined_bytes_ += data.size();
    if (pipelined_bytes_ > MaxPipelinedBytes()) return Close();
  } else if (!deferred_) {
    HandleNextRequest();
  }
  if (closed_ || HasEnoughInput()) return;
  if (!IsReadyToClose() || refused_) return Read();
  if (writing_.empty()) Close();
}

/// Returns whether the connection is to close and no request is unfinished.
bool HttpServerSession::IsReadyToClose() const {
  return close_when_idle_ && !answering_ && !parser_.InMessage();
}

void HttpServerSession::HandleReadEnd() {
  // A caller that half-closes the connection is treated as disconnected.
  Close();
}

void HttpServerSession::HandleNextRequest() {
  LastReason reason;
  std::optional<HttpRequest> request = parser_.Next(reason);
  if (reason.code() != ResultCode::kOk) return Refuse(reason);
  if (!request) return ArmReadTimer();
  read_timer_.reset();
  answering_ = true;
  awaiting_first_request_ = false;
  pipelined_bytes_ = 0;
  keep_alive_ = request->keep_alive;
  answers_head_ = request->method == "HEAD";
  request_bytes_ =
      request->body.capacity() + request->fields.capacity() * sizeof(HttpField);
  for (const auto& field : request->fields) {
    request_bytes_ += field.name.capacity() + field.value.capacity();
  }
  loop_.memory().SetForwarded(holder_, true);
  handler_(std::move(*request), shared_from_this());
}

void HttpServerSession::Refuse(const LastReason& reason) {
  read_timer_.reset();
  answering_ = true;
  answers_head_ = false;
  refused_ = true;
  keep_alive_ = false;
  parser_.Release();
  // Closing with unread input would discard the answer.
  parked_ = false;
  Read();
  Respond(error_handler_(reason));
}

void HttpServerSession::Respond(const HttpResponse& response) {
  if (closed_ || !answering_) return;
  keep_alive_ = keep_alive_ && !close_when_idle_ && !close_after_answer_;
  Write(EncodeResponse(response, keep_alive_, answers_head_));
  FinishAnswer();
}

void HttpServerSession::StartStream(const HttpResponseHead& head) {
  if (closed_ || !answering_) return;
  keep_alive_ = keep_alive_ && !close_when_idle_ && !close_after_answer_;
  Write(EncodeChunkedHead(head, keep_alive_));
}

void HttpServerSession::WriteChunk(std::string_view data) {
  if (closed_ || data.empty() || answers_head_) return;
  Write(EncodeChunk(data));
}

void HttpServerSession::EndStream() {
  if (closed_) return;
  if (!answers_head_) Write(EncodeLastChunk());
  FinishAnswer();
}

void HttpServerSession::FinishAnswer() {
  answering_ = false;
  request_bytes_ = 0;
  loop_.memory().SetForwarded(holder_, false);
  UpdateMemory();
  ClearHandlers();
  if (!keep_alive_) close_when_idle_ = true;
  if (close_when_idle_) return;
  next_posted_ = true;
  loop_.Post([self = shared_from_this()] {
    self->next_posted_ = false;
    if (self->closed_ || self->answering_ || self->refused_) return;
    self->RunGuardedOrClose([&self] { self->HandleQueuedInput(); });
    self->UpdateMemory();
  });
}

/// Handles the request behind an answer, once the caller has taken most of that
/// answer.
void HttpServerSession::HandleQueuedInput() {
  deferred_ = ShouldPause();
  if (deferred_) return;
  HandleNextRequest();
  if (!closed_ && !reading_ && !parked_ && !HasEnoughInput()) Read();
}

/// Returns whether the input holds requests that are still to be handled, so
/// that more of them need not be read.
bool HttpServerSession::HasEnoughInput() const {
  return (answering_ || next_posted_ || deferred_) && !refused_ &&
         parser_.CountUnparsedBytes() >= kReadBytes;
}

void HttpServerSession::Write(const std::string& data) {
  if (CountBufferedBytes() + data.size() >
      limits_.buffered_bytes + limits_.message.body_bytes) {
    return Close();
  }
  pending_output_ += data;
  if (writing_.empty()) Flush();
  UpdateMemory();
}

void HttpServerSession::Flush() {
  writing_ = std::exchange(pending_output_, {});
  written_ = 0;
  WriteSome();
}

void HttpServerSession::WriteSome() {
  write_timer_ = loop_.Schedule(limits_.write_timeout, [this] { Close(); });
  socket_.async_write_some(
      asio::buffer(writing_) + written_,
      [self = shared_from_this()](const asio::error_code& error,
                                  std::size_t size) {
        self->HandleWritten(error, size);
      });
}

void HttpServerSession::HandleWritten(const asio::error_code& error,
                                      std::size_t size) {
  write_timer_.reset();
  if (closed_) return;
  if (error) return Close();
  loop_.memory().RecordProgress(holder_, size);
  written_ += size;
  if (written_ < writing_.size()) {
    WriteSome();
  } else {
    writing_ = {};
    written_ = 0;
    if (!pending_output_.empty()) Flush();
  }
  UpdateMemory();
  if (deferred_ && CountBufferedBytes() < limits_.resume_bytes) {
    deferred_ = false;
    RunGuardedOrClose([this] { HandleQueuedInput(); });
    if (closed_) return;
    UpdateMemory();
  }
  if (writing_.empty() && close_when_idle_ && !answering_) {
    return CloseAfterWrite();
  }
  if (CountBufferedBytes() < limits_.resume_bytes && on_writable_) {
    const auto handler = on_writable_;
    handler();
  }
}

void HttpServerSession::CloseAfterWrite() {
  if (!refused_) return Close();
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  read_timer_ = loop_.Schedule(kLingerTime, [this] { Close(); });
}

void HttpServerSession::BreakStream() {
  if (closed_) return;
  answering_ = false;
  request_bytes_ = 0;
  loop_.memory().SetForwarded(holder_, false);
  ClearHandlers();
  close_when_idle_ = true;
  if (writing_.empty()) Close();
}

void HttpServerSession::Abort() { Close(); }

void HttpServerSession::Terminate() {
  if (closed_) return;
  close_timer_ = loop_.Schedule(kTerminateTimeout, [this] { Close(); });
  const auto handler = std::exchange(on_terminate_, nullptr);
  if (answering_ && handler) handler();
  if (closed_) return;
  if (answering_) return Close();
  CloseWhenIdle();
}

void HttpServerSession::CloseWhenIdle() {
  close_when_idle_ = true;
  if (!writing_.empty() || !IsReadyToClose()) return;
  asio::error_code ignored;
  if (socket_.available(ignored) > 0) return;
  if (!awaiting_first_request_) return Close();
  close_timer_ = loop_.Schedule(kFirstRequestGrace, [this] {
    if (!answering_ && !parser_.InMessage()) Close();
  });
}

void HttpServerSession::ClearHandlers() {
  on_closed_ = nullptr;
  on_terminate_ = nullptr;
  on_writable_ = nullptr;
}

void HttpServerSession::ArmReadTimer() {
  const bool in_message = parser_.InMessage();
  // Further bytes of a request don't extend its timeout.
  if (in_message && read_timer_ && timing_request_) return;
  timing_request_ = in_message;
  const Duration limit =
      in_message ? limits_.request_timeout : limits_.idle_timeout;
  // The timer keeps a connection alive that the budget has stopped reading.
  read_timer_ = loop_.Schedule(limit, [self = shared_from_this(), in_message] {
    if (!in_message) return self->Close();
    LastReason reason;
    reason.Set(ResultCode::kCallerTimedOut, "the request came too slowly");
    self->Refuse(reason);
  });
}

void HttpServerSession::Close() {
  if (closed_) return;
  const auto self = shared_from_this();
  closed_ = true;
  loop_.memory().Remove(holder_);
  parser_.Release();
  read_timer_.reset();
  write_timer_.reset();
  close_timer_.reset();
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  const auto handler = std::exchange(on_closed_, nullptr);
  ClearHandlers();
  if (answering_ && handler) handler();
}

}  // namespace wisteriayoke
