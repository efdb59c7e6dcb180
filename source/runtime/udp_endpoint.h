#ifndef WISTERIAYOKE_RUNTIME_UDP_ENDPOINT_H_
#define WISTERIAYOKE_RUNTIME_UDP_ENDPOINT_H_

#include <array>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/last_reason.h"
#include "decisions/table_spec.h"
#include "runtime/event_loop.h"

namespace wisteriayoke {

/// UDP socket for datagrams. It keeps itself alive until it is closed.
class UdpEndpoint : public std::enable_shared_from_this<UdpEndpoint> {
 public:
  /// Longest datagram that is received whole; it fits into one Ethernet frame.
  static constexpr std::size_t kMaxDatagramBytes = 1472;

  using Handler = std::function<void(std::string_view, const Endpoint& from)>;

  /// Binds to `local`. Returns null with kAddressInUse if it can't.
  static std::shared_ptr<UdpEndpoint> Create(EventLoop& loop,
                                             const Endpoint& local,
                                             Handler handler,
                                             LastReason& reason);

  UdpEndpoint(EventLoop& loop, Handler handler);

  /// Sends one datagram, or drops it if sending fails or would block.
  void Send(std::string_view data, const Endpoint& to);

  /// Stops receiving and closes the socket.
  void Close();

  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t received_bytes() const { return received_bytes_; }

 private:
  void Receive();
  void HandleReceived(std::size_t size);

  Handler handler_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint sender_;
  /// One byte longer than the limit, so that longer datagrams are detected.
  std::array<char, kMaxDatagramBytes + 1> buffer_;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  bool closed_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_RUNTIME_UDP_ENDPOINT_H_
