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
  void WritePiece(std::string_view data);
  /// Ends the chunked answer as whole.
  void EndStream();

  /// Closes the connection after what was written, without the last chunk, so
  /// that the caller can't take the answer for whole.
  void BreakStream();

  /// Closes the connection at once.
  void Abort();

  /// Closes the connection once the current request, if any, is answered.
  void CloseWhenIdle();

  /// Sets what to call if the caller leaves before its request is answered.
  void set_on_closed(std::function<void()> handler) {
    on_closed_ = std::move(handler);
  }

  bool closed() const { return closed_; }

 private:
  static constexpr std::size_t kReadBytes = 16 * 1024;
  /// How long a refused caller may go on sending before it is cut; closing
  /// sooner would discard the answer on its way.
  static constexpr Duration kLingerTime = std::chrono::seconds(1);

  void Read();
  void HandleRead(std::string_view data);
  void HandleReadEnd();
  void NextRequest();
  void CloseWritten();
  void Write(const std::string& data);
  void Flush();
  void HandleWritten(const asio::error_code& error);
  void FinishAnswer();
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
  std::function<void()> on_closed_;
  LoopTimerPtr read_timer_;
  LoopTimerPtr write_timer_;
  bool answering_ = false;
  bool keep_alive_ = true;
  bool close_when_idle_ = false;
  bool refused_ = false;
  bool timing_request_ = false;  ///< What the read timer bounds.
  bool closed_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_HTTP_SERVER_SESSION_H_
