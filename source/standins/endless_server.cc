#include "standins/endless_server.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace wisteriayoke {
namespace {

constexpr std::string_view kChunk = "4\r\nabcd\r\n";

/// Returns the bytes before the part that doesn't end.
std::string StartOf(const EndlessAnswer& answer) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + answer.fields;
  std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  switch (answer.part) {
    case EndlessPart::kNoise:
      return "";
    case EndlessPart::kHead:
      return head + "X-Endless: ";
    case EndlessPart::kBody:
    case EndlessPart::kEvent:
      return head + "\r\n";
    case EndlessPart::kChunks:
      return chunked;
    case EndlessPart::kChunkSize:
      return chunked + "4;x=";
    case EndlessPart::kTrailer:
      return chunked + std::string(kChunk) + "0\r\nX-Endless: ";
  }
  return "";
}

/// Returns the next bytes of the part that doesn't end.
std::string NextOf(const EndlessAnswer& answer) {
  if (answer.part != EndlessPart::kChunks) {
    return std::string(answer.write_bytes, 'a');
  }
  std::string chunks;
  while (chunks.size() < answer.write_bytes) chunks += kChunk;
  return chunks;
}

}  // namespace

std::shared_ptr<EndlessServer> EndlessServer::Create(EventLoop& loop,
                                                     const Endpoint& address,
                                                     EndlessAnswer answer,
                                                     LastReason& reason) {
  auto server = std::make_shared<EndlessServer>(loop, std::move(answer));
  if (!server->Listen(address, reason)) return nullptr;
  server->Accept();
  return server;
}

EndlessServer::EndlessServer(EventLoop& loop, EndlessAnswer answer)
    : loop_(loop), answer_(std::move(answer)), acceptor_(loop.context()) {}

bool EndlessServer::Listen(const Endpoint& address, LastReason& reason) {
  asio::error_code error;
  const asio::ip::tcp::endpoint local(
      asio::ip::make_address(address.host, error), address.port);
  if (!error) acceptor_.open(local.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor_.bind(local, error);
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) return true;
  reason.Set(ResultCode::kAddressInUse,
             address.ToString() + ": " + error.message() +
                 "; choose a free address of this host");
  return false;
}

void EndlessServer::Close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
}

void EndlessServer::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const asio::error_code& error,
                                  asio::ip::tcp::socket socket) {
        if (error) return;
        ++self->open_;
        self->Serve(std::make_shared<Connection>(std::move(socket)));
        self->Accept();
      });
}

void EndlessServer::Serve(const ConnectionPtr& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->input),
      [self = shared_from_this(), connection](const asio::error_code& error,
                                              std::size_t /*size*/) {
        if (error) {
          --self->open_;
          return;
        }
        connection->output = StartOf(self->answer_);
        if (connection->output.empty()) {
          connection->output = NextOf(self->answer_);
        }
        self->Write(connection);
      });
}

void EndlessServer::Write(const ConnectionPtr& connection) {
  asio::async_write(connection->socket, asio::buffer(connection->output),
                    [self = shared_from_this(), connection](
                        const asio::error_code& error, std::size_t size) {
                      self->written_ += size;
                      if (error) {
                        --self->open_;
                        return;
                      }
                      connection->output = NextOf(self->answer_);
                      connection->timer = self->loop_.Schedule(
                          self->answer_.pause, [self = self.get(), connection] {
                            const LoopTimerPtr running =
                                std::exchange(connection->timer, {});
                            self->Write(connection);
                          });
                    });
}

}  // namespace wisteriayoke
