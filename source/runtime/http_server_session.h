#ifndef WISTERIAYOKE_RUNTIME_HTTP_SERVER_SESSION_H_
#define WISTERIAYOKE_RUNTIME_HTTP_SERVER_SESSION_H_

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "runtime/event_loop.h"
#include "wire/http_request_parser.h"

namespace wisteriayoke {

/// Limits of a server and its connections.
struct HttpServerLimits {
  HttpLimits message;
  std::size_t connections = 4096;
  /// Whether connections may use the descriptors kept for calls to other
  /// processes.
  bool reserved = false;
  /// Longest time from the first byte of a request to its last.
  Duration request_timeout = std::chrono::seconds(10);
  /// Longest wait between requests of one connection.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Longest wait until the caller accepts another byte of an answer.
  Duration write_timeout = std::chrono::seconds(10);
  /// Most unsent answer bytes, besides `message.body_bytes` for one whole
  /// answer. The connection of a caller too slow for this is closed.
  std::size_t buffered_bytes = 1024 * 1024;
  /// Unsent answer bytes above which the producer of a stream should pause.
  std::size_t pause_bytes = 64 * 1024;
  /// Unsent answer bytes below which a paused producer may resume.
  std::size_t resume_bytes = 16 * 1024;
};

/// One connection of a caller: reads requests one at a time and writes the
/// answers. The session stays alive while an operation is pending or a handler
/// holds it.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession> {
 public:
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpServerSession>)>;
  /// Returns the error answer for input that is refused.
  using ErrorHandler = std::function<HttpResponse(const LastReason&)>;

  HttpServerSession(EventLoop& loop, asio::ip::tcp::socket socket,
                    HttpServerLimits limits, Handler handler,
                    ErrorHandler error_handler);
  ~HttpServerSession();
  HttpServerSession(const HttpServerSession&) = delete;
  HttpServerSession& operator=(const HttpServerSession&) = delete;

  /// Starts reading requests.
  void Start();

  /// Sends the error answer for `reason`, discards further input, and closes
  /// the connection.
  void Refuse(const LastReason& reason);

  /// Answers the current request with a whole response.
  void Respond(const HttpResponse& response);

  /// Sends the head of a chunked answer to the current request.
  void StartStream(const HttpResponseHead& head);
  /// Sends `data` as one chunk of the answer; does nothing if it is empty.
  void WriteChunk(std::string_view data);
  /// Sends the last chunk, which completes the answer.
  void EndStream();

  /// Closes the connection after the bytes written so far, without the last
  /// chunk, so that the caller sees that the answer is incomplete.
  void BreakStream();

  /// Closes the connection at once.
  void Abort();

  /// Closes the connection because of `rule` of the memory budget. An
  /// incomplete request is refused first; it never runs.
  void CloseForMemory(MemoryRule rule);

  /// Reads again after the memory budget has stopped it.
  void ResumeReading();

  /// Terminates the current request: calls the handler of `set_on_terminate`,
  /// which may still complete the answer. Closes the connection when the answer
  /// is written, at the latest after `kTerminateTimeout`, or at once if it is
  /// still incomplete.
  void Terminate();

  /// Closes the connection after the next answer whose head is not sent yet.
  void CloseAfterAnswer() { close_after_answer_ = true; }

  /// Closes the connection once the current request, if any, is answered.
  void CloseWhenIdle();

  /// Sets the handler for a connection that closes before the current request
  /// is answered.
  void set_on_closed(std::function<void()> handler) {
    on_closed_ = std::move(handler);
  }

  /// Sets the handler that `Terminate` calls during an unfinished answer.
  void set_on_terminate(std::function<void()> handler) {
    on_terminate_ = std::move(handler);
  }

  /// Sets the handler called after each write that leaves fewer unsent bytes
  /// than `HttpServerLimits::resume_bytes`.
  void set_on_writable(std::function<void()> handler) {
    on_writable_ = std::move(handler);
  }

  /// Returns whether more than `HttpServerLimits::pause_bytes` are unsent, or
  /// `resume_bytes` while memory is low.
  bool ShouldPause() const {
    return CountBufferedBytes() > (loop_.memory().budget().IsLow()
                                       ? limits_.resume_bytes
                                       : limits_.pause_bytes);
  }

  bool closed() const { return closed_; }

  /// Returns whether the current request's answer is incomplete.
  bool answering() const { return answering_; }

 private:
  static constexpr std::size_t kReadBytes = 16 * 1024;
  /// What a connection holds besides its input and output: this object, its
  /// timer, its parser and its place in the lists of the loop and the server.
  static constexpr std::size_t kSessionBytes = 4 * 1024;
  /// Time during a drain in which a new connection may send its first bytes.
  static constexpr Duration kFirstRequestGrace = std::chrono::milliseconds(200);
  /// Longest time to send the rest of the answer of a terminated request.
  static constexpr Duration kTerminateTimeout = std::chrono::milliseconds(500);
  /// Longest time in which input of a refused caller is still read; closing
  /// with unread input would discard the answer in transit.
  static constexpr Duration kLingerTime = std::chrono::seconds(1);

  /// Most bytes of pipelined requests that may arrive during an answer.
  std::size_t MaxPipelinedBytes() const {
    return limits_.message.header_bytes + limits_.message.body_bytes;
  }

  template <typename Call>
  void RunGuardedOrClose(const Call& call);
  void Read();
  void HandleReadable();
  void HandleRead(std::string_view data);
  void HandleQueuedInput();
  bool HasEnoughInput() const;
  void UpdateMemory();
  void HandleReadEnd();
  bool IsReadyToClose() const;
  void HandleNextRequest();
  void CloseAfterWrite();
  void Write(const std::string& data);
  void Flush();
  void WriteSome();
  void HandleWritten(const asio::error_code& error, std::size_t size);
  std::size_t CountBufferedBytes() const {
    return pending_output_.size() + writing_.size() - written_;
  }
  void FinishAnswer();
  void ClearHandlers();
  void ArmReadTimer();
  void Close();

  EventLoop& loop_;
  asio::ip::tcp::socket socket_;
  HttpServerLimits limits_;
  Handler handler_;
  ErrorHandler error_handler_;
  HttpRequestParser parser_;
  std::string pending_output_;
  std::string writing_;
  std::size_t written_ = 0;  ///< Bytes of `writing_` that were written.
  std::function<void()> on_closed_;
  std::function<void()> on_terminate_;
  std::function<void()> on_writable_;
  LoopTimerPtr read_timer_;
  LoopTimerPtr write_timer_;
  LoopTimerPtr close_timer_;
  MemoryGuard::HolderId holder_ = 0;
  std::size_t pipelined_bytes_ = 0;
  std::size_t request_bytes_ = 0;  ///< Memory of the request being answered.
  bool reading_ = false;
  bool parked_ = false;    ///< Whether the budget has stopped reading.
  bool deferred_ = false;  ///< Whether input waits for the last answer.
  bool next_posted_ = false;
  bool awaiting_first_request_ = true;
  bool answering_ = false;
  bool keep_alive_ = true;
  bool answers_head_ = false;  ///< Whether the request is a HEAD.
  bool close_after_answer_ = false;
  bool close_when_idle_ = false;
  bool refused_ = false;
  /// Whether the read timer limits a request and not the wait for one.
  bool timing_request_ = false;
  bool closed_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_HTTP_SERVER_SESSION_H_
