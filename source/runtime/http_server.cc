#include "runtime/http_server.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wisteriayoke {

std::shared_ptr<HttpServer> HttpServer::Create(
    EventLoop& loop, const Endpoint& endpoint, HttpServerLimits limits,
    HttpServerSession::Handler handler,
    HttpServerSession::ErrorHandler error_handler, LastReason& reason) {
  auto server = std::make_shared<HttpServer>(loop, limits, std::move(handler),
                                             std::move(error_handler));
  asio::error_code error;
  const auto address = asio::ip::make_address(endpoint.host, error);
  const asio::ip::tcp::endpoint local(address, endpoint.port);
  auto& acceptor = server->acceptor_;
  if (!error) acceptor.open(local.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor.bind(local, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    reason.Set(
        ResultCode::kAddressInUse,
        "can't listen at " + endpoint.ToString() + ": " + error.message());
    return nullptr;
  }
  server->Accept();
  return server;
}

HttpServer::HttpServer(EventLoop& loop, HttpServerLimits limits,
                       HttpServerSession::Handler handler,
                       HttpServerSession::ErrorHandler error_handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      error_handler_(std::move(error_handler)),
      acceptor_(loop.context()) {}

void HttpServer::Accept() {
  if (!loop_.memory().HasRoomForSession(limits_.reserved)) {
    return AcceptWithoutRoom();
  }
  acceptor_.async_accept(
      [self = shared_from_this()](const asio::error_code& error,
                                  asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!self->acceptor_.is_open()) return;
        if (error) return self->AcceptLater();
        self->AddSession(std::move(socket));
        self->Accept();
      });
}

/// Waits for a connection in the backlog, which then takes the descriptor of an
/// idle one.
void HttpServer::AcceptWithoutRoom() {
  acceptor_.async_wait(
      asio::ip::tcp::acceptor::wait_read,
      [self = shared_from_this()](const asio::error_code& error) {
        if (error == asio::error::operation_aborted) return;
        if (!self->acceptor_.is_open()) return;
        MemoryGuard& memory = self->loop_.memory();
        const bool has_room =
            !error && (memory.HasRoomForSession(self->limits_.reserved) ||
                       memory.CloseIdleSession());
        return has_room ? self->Accept() : self->AcceptLater();
      });
}

/// Accepts again after a while. An error, such as a lack of descriptors, would
/// otherwise return at once, again and again.
void HttpServer::AcceptLater() {
  accept_timer_ = loop_.Schedule(kAcceptRetryInterval, [this] { Accept(); });
}

void HttpServer::AddSession(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<HttpServerSession>(
      loop_, std::move(socket), limits_, handler_, error_handler_);
  const auto is_full = [this] {
    return CountSessions() >= limits_.connections;
  };
  // Connections without progress must not shut out all other callers.
  if (is_full() && !limits_.reserved) loop_.memory().CloseIdleSession();
  if (is_full()) {
    LastReason reason;
    reason.Set(ResultCode::kTooManyConnections,
               "all " + std::to_string(limits_.connections) +
                   " connections are in use");
    session->Start();
    return session->Refuse(reason);
  }
  sessions_.push_back(session);
  if (close_after_answers_) session->CloseAfterAnswer();
  session->Start();
}

std::size_t HttpServer::CountSessions() {
  std::erase_if(sessions_, [](const auto& weak) {
    const auto session = weak.lock();
    return !session || session->closed();
  });
  return sessions_.size();
}

void HttpServer::StopAccepting() {
  accept_timer_.reset();
  asio::error_code ignored;
  acceptor_.non_blocking(true, ignored);
  // Connections in the kernel's backlog still get an answer.
  for (asio::error_code error; !error;) {
    asio::ip::tcp::socket socket(loop_.context());
    acceptor_.accept(socket, error);
    if (!error) AddSession(std::move(socket));
  }
  acceptor_.close(ignored);
}

void HttpServer::CloseAfterAnswers() {
  close_after_answers_ = true;
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) session->CloseAfterAnswer();
  }
}

void HttpServer::CloseIdleSessions() {
  for (const auto& weak : std::vector(sessions_)) {
    if (const auto session = weak.lock()) session->CloseWhenIdle();
  }
}

void HttpServer::Drain(std::function<void()> done) {
  on_drained_ = std::move(done);
  CloseIdleSessions();
  CheckDrained();
}

void HttpServer::CheckDrained() {
  if (CountSessions() == 0) {
    if (const auto done = std::exchange(on_drained_, nullptr)) done();
    return;
  }
  drain_timer_ =
      loop_.Schedule(kDrainCheckInterval,
                     [self = shared_from_this()] { self->CheckDrained(); });
}

void HttpServer::TerminateSessions() {
  for (const auto& weak : std::vector(sessions_)) {
    if (const auto session = weak.lock()) session->Terminate();
  }
}

}  // namespace wisteriayoke
