#ifndef WISTERIAYOKE_TESTS_SUPPORT_RAW_CALLER_H_
#define WISTERIAYOKE_TESTS_SUPPORT_RAW_CALLER_H_

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>

#include "base/ids.h"
#include "decisions/table_spec.h"
#include "runtime/event_loop.h"

namespace wisteriayoke {

/// A caller that decides about each byte that it sends, and keeps what it
/// receives.
class RawCaller {
 public:
  RawCaller(EventLoop& loop, const Endpoint& endpoint)
      : socket_(loop.context()) {
    socket_.connect({asio::ip::make_address(endpoint.host), endpoint.port});
    Read();
  }

  void Send(const std::string& data) {
    asio::write(socket_, asio::buffer(data));
  }

  const std::string& received() const { return received_; }
  /// Whether the server closed the connection.
  bool closed() const { return closed_; }

 private:
  void Read() {
    socket_.async_read_some(
        asio::buffer(input_),
        [this](const asio::error_code& error, std::size_t size) {
          if (error == asio::error::operation_aborted) return;
          if (error) {
            closed_ = true;
            return;
          }
          received_.append(input_.data(), size);
          Read();
        });
  }

  asio::ip::tcp::socket socket_;
  std::array<char, 4096> input_{};
  std::string received_;
  bool closed_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_TESTS_SUPPORT_RAW_CALLER_H_
