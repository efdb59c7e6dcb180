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

/// Accepts connections at one address and runs a session for each.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  /// Listens at `endpoint`. Returns null with kAddressInUse if it can't.
  static std::shared_ptr<HttpServer> Create(
      EventLoop& loop, const Endpoint& endpoint, HttpServerLimits limits,
      HttpServerSession::Handler handler,
      HttpServerSession::ErrorHandler error_handler, LastReason& reason);

  /// Accepts the connections in the backlog, then closes the listening socket;
  /// open sessions continue.
  void StopAccepting();

  /// Closes each connection, open or accepted later, after its next answer,
  /// which says so in its Connection field.
  void CloseAfterAnswers();

  /// Closes each session that is open now as soon as its current request, if
  /// any, is answered.
  void CloseIdleSessions();

  /// Closes each session as soon as its current request is answered, and calls
  /// `done` when all are closed.
  void Drain(std::function<void()> done);

  /// Terminates the current requests and closes all sessions shortly after.
  void TerminateSessions();

  /// Returns the number of open sessions.
  std::size_t CountSessions();

  HttpServer(EventLoop& loop, HttpServerLimits limits,
             HttpServerSession::Handler handler,
             HttpServerSession::ErrorHandler error_handler);

 private:
  void Accept();
  void AddSession(asio::ip::tcp::socket socket);
  void CheckDrained();
  void AcceptWithoutRoom();
  void AcceptLater();

  /// Time until the server accepts again after it could not.
  static constexpr Duration kAcceptRetryInterval =
      std::chrono::milliseconds(50);
  /// Interval at which a drain checks whether all sessions are closed.
  static constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(10);

  EventLoop& loop_;
  HttpServerLimits limits_;
  HttpServerSession::Handler handler_;
  HttpServerSession::ErrorHandler error_handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<HttpServerSession>> sessions_;
  bool close_after_answers_ = false;
  LoopTimerPtr accept_timer_;
  std::function<void()> on_drained_;
  LoopTimerPtr drain_timer_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_HTTP_SERVER_H_
