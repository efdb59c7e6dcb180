#ifndef WISTERIAYOKE_TESTS_SUPPORT_RAW_SERVER_H_
#define WISTERIAYOKE_TESTS_SUPPORT_RAW_SERVER_H_

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decisions/table_spec.h"
#include "runtime/event_loop.h"

namespace wisteriayoke {

/// A server that decides about each byte that it sends: answers the request of
/// each connection with the same bytes, and closes it.
class RawServer {
 public:
  /// Sends `write_bytes` at a time.
  RawServer(EventLoop& loop, const Endpoint& endpoint, std::string answer,
            std::size_t write_bytes)
      : acceptor_(loop.context(),
                  {asio::ip::make_address(endpoint.host), endpoint.port}),
        answer_(std::move(answer)),
        write_bytes_(write_bytes) {
    Accept();
  }

  /// Returns the number of requests that begin with `start`.
  std::size_t CountRequests(std::string_view start) const {
    return static_cast<std::size_t>(
        std::count_if(requests_->begin(), requests_->end(),
                      [start](const std::string& request) {
                        return request.starts_with(start);
                      }));
  }

 private:
  struct Connection {
    asio::ip::tcp::socket socket;
    std::string answer;
    std::size_t write_bytes = 0;
    std::size_t sent = 0;
    std::string input{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error) return;
          socket.set_option(asio::ip::tcp::no_delay(true));
          Serve(std::make_shared<Connection>(
              Connection{std::move(socket), answer_, write_bytes_}));
          Accept();
        });
  }

  void Serve(const ConnectionPtr& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->input), "\r\n\r\n",
        [connection, requests = requests_](const asio::error_code& error,
                                           std::size_t /*size*/) {
          if (error) return;
          requests->push_back(connection->input);
          Write(connection);
        });
  }

  static void Write(const ConnectionPtr& connection) {
    const std::string_view answer = connection->answer;
    const std::string_view rest = answer.substr(connection->sent);
    if (rest.empty()) return;
    asio::async_write(
        connection->socket,
        asio::buffer(rest.substr(0, connection->write_bytes)),
        [connection](const asio::error_code& error, std::size_t size) {
          connection->sent += size;
          if (!error) Write(connection);
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
  std::size_t write_bytes_;
  std::shared_ptr<std::vector<std::string>> requests_ =
      std::make_shared<std::vector<std::string>>();
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_SUPPORT_RAW_SERVER_H_
