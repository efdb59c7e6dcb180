#ifndef WISTERIAYOKE_RUNTIME_HTTP_SERVER_SESSION_H_
#define WISTERIAYOKE_RUNTIME_HTTP_SERVER_SESSION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "runtime/event_loop.h"
#include "wire/http_request_parser.h"

namespace wisteriayoke {

/// Bounds on a server's connections.
struct HttpServerLimits {
  HttpLimits message;
  std::size_t connections = 4096;
  /// Longest wait for a whole request once its first byte has come.
  Duration request_timeout = std::chrono::seconds(10);
  /// Longest wait between requests of one connection.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Longest time that a caller may take no byte of an answer.
  Duration write_timeout = std::chrono::seconds(10);
  /// Most answer bytes that wait for a slow caller; more closes it.
  std::size_t buffered_bytes = 1024 * 1024;
  /// Waiting answer bytes over which the source of a stream should pause.
  std::size_t pause_bytes = 64 * 1024;
  /// Waiting answer bytes below which a paused source may go on.
  std::size_t resume_bytes = 16 * 1024;
};

/// One connection of a caller: reads requests one at a time and writes the
/// answers. It keeps itself alive while an operation is pending or a handler
/// holds it.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession> {
 public:
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpServerSession>)>;
  /// Writes an error answer for input that is not a request.
  using ErrorHandler = std::function<HttpResponse(const LastReason&)>;

  HttpServerSession(EventLoop& loop, asio::ip::tcp::socket socket,
                    HttpServerLimits limits, Handler handler,
                    ErrorHandler error_handler);
  ~HttpServerSession();
  HttpServerSession(const HttpServerSession&) = delete;
  HttpServerSession& operator=(const HttpServerSession&) = delete;

  /// Begins to read.
  void Start();

  /// Answers with the error answer for `reason` and closes the connection.
  void Refuse(const LastReason& reason);

  /// Answers the current request with a whole response.
  void Respond(const HttpResponse& response);

  /// Begins a chunked answer to the current request.
  void StartStream(const HttpResponseHead& head);
  /// Adds a piece to the chunked answer.
  void WriteChunk(std::string_view data);
  /// Ends the chunked answer as whole.
  void EndStream();

  /// Closes the connection after what was written, without the last chunk, so
  /// that the caller can't take the answer for whole.
  void BreakStream();

  /// Closes the connection at once.
  void Abort();

  /// Ends the current request for good: calls the handler of
  /// `set_on_terminate`, so that the request can still be answered, and closes
  /// shortly after.
  void Terminate();

  /// Closes the connection once the current or the next request is answered.
  void CloseAfterAnswer() { close_after_answer_ = true; }

  /// Closes the connection once the current request, if any, is answered.
  void CloseWhenIdle();

  /// Sets what to call if the caller leaves before its request is answered.
  void set_on_closed(std::function<void()> handler) {
    on_closed_ = std::move(handler);
  }

  /// Sets what to call if the request must end before its answer is whole.
  void set_on_terminate(std::function<void()> handler) {
    on_terminate_ = std::move(handler);
  }

  /// Sets what to call when a source that paused may go on.
  void set_on_writable(std::function<void()> handler) {
    on_writable_ = std::move(handler);
  }

  /// Tells whether the caller is so slow that the source should pause.
  bool ShouldPause() const {
    return CountBufferedBytes() > limits_.pause_bytes;
  }

  bool closed() const { return closed_; }

  /// Tells whether a request waits for the rest of its answer.
  bool answering() const { return answering_; }

 private:
  static constexpr std::size_t kReadBytes = 16 * 1024;
  /// Time that a new connection has for its first bytes in spite of a drain.
  static constexpr Duration kFreshTime = std::chrono::milliseconds(200);
  /// Time that the last bytes of a cut answer have to leave.
  static constexpr Duration kCutTime = std::chrono::milliseconds(500);
  /// How long a refused caller may go on sending before it is cut; closing
  /// sooner would discard the answer on its way.
  static constexpr Duration kLingerTime = std::chrono::seconds(1);

  /// Most bytes of further requests that may wait behind an answer.
  std::size_t MaxEarlyBytes() const {
    return limits_.message.header_bytes + limits_.message.body_bytes;
  }

  void Read();
  void HandleRead(std::string_view data);
  void HandleReadEnd();
  bool IsDone() const;
  void NextRequest();
  void CloseWritten();
  void Write(const std::string& data);
  void Flush();
  void WriteSome();
  void HandleWritten(const asio::error_code& error, std::size_t size);
  std::size_t CountBufferedBytes() const {
    return pending_output_.size() + writing_.size() - written_;
  }
  void FinishAnswer();
  void DropHandlers();
  void ArmReadTimer();
  void Close();

  EventLoop& loop_;
  asio::ip::tcp::socket socket_;
  HttpServerLimits limits_;
  Handler handler_;
  ErrorHandler error_handler_;
  HttpRequestParser parser_;
  std::array<char, kReadBytes> read_buffer_;
  std::string pending_output_;
  std::string writing_;
  std::size_t written_ = 0;  ///< Bytes of `writing_` that were written.
  std::function<void()> on_closed_;
  std::function<void()> on_terminate_;
  std::function<void()> on_writable_;
  LoopTimerPtr read_timer_;
  LoopTimerPtr write_timer_;
  LoopTimerPtr close_timer_;
  std::size_t early_bytes_ = 0;
  bool fresh_ = true;  ///< No request has come yet.
  bool answering_ = false;
  bool keep_alive_ = true;
  bool close_after_answer_ = false;
  bool close_when_idle_ = false;
  bool refused_ = false;
  bool timing_request_ = false;  ///< What the read timer bounds.
  bool closed_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_HTTP_SERVER_SESSION_H_
