#ifndef WISTERIAYOKE_RUNTIME_HTTP_SERVER_H_
#define WISTERIAYOKE_RUNTIME_HTTP_SERVER_H_

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "decisions/table_spec.h"
#include "runtime/http_server_session.h"

namespace wisteriayoke {

/// Accepts connections on one address and runs a session for each.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  /// Listens at `endpoint`. Fails with kAddressInUse.
  static std::shared_ptr<HttpServer> Create(
      EventLoop& loop, const Endpoint& endpoint, HttpServerLimits limits,
      HttpServerSession::Handler handler,
      HttpServerSession::ErrorHandler error_handler, LastReason& reason);

  /// Accepts the connections that wait, then closes the listening socket;
  /// sessions go on.
  void StopAccepting();

  /// Asks callers to use another connection after their next answer.
  void CloseAfterAnswers();

  /// Closes each session as soon as its current request is answered, then
  /// calls `done`.
  void Drain(std::function<void()> done);

  /// Cuts the open requests and closes all sessions.
  void TerminateSessions();

  std::size_t CountSessions();

  HttpServer(EventLoop& loop, HttpServerLimits limits,
             HttpServerSession::Handler handler,
             HttpServerSession::ErrorHandler error_handler);

 private:
  void Accept();
  void AddSession(asio::ip::tcp::socket socket);
  void CheckDrained();

  /// How often the end of a drain is looked for.
  static constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(10);

  EventLoop& loop_;
  HttpServerLimits limits_;
  HttpServerSession::Handler handler_;
  HttpServerSession::ErrorHandler error_handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<HttpServerSession>> sessions_;
  bool close_after_answers_ = false;
  std::function<void()> on_drained_;
  LoopTimerPtr drain_timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_HTTP_SERVER_H_
