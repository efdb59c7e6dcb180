#include "runtime/udp_endpoint.h"

#include <utility>

#include "base/fault.h"

namespace wisteriayoke {

std::shared_ptr<UdpEndpoint> UdpEndpoint::Create(EventLoop& loop,
                                                 const Endpoint& local,
                                                 Handler handler,
                                                 LastReason& reason) {
  auto endpoint = std::make_shared<UdpEndpoint>(loop, std::move(handler));
  asio::error_code error;
  const auto address = asio::ip::make_address(local.host, error);
  const asio::ip::udp::endpoint bound(address, local.port);
  auto& socket = endpoint->socket_;
  if (!error) socket.open(bound.protocol(), error);
  if (!error) socket.non_blocking(true, error);
  if (!error) socket.bind(bound, error);
  if (error) {
    reason.Set(ResultCode::kAddressInUse, "can't receive datagrams at " +
                                              local.ToString() + ": " +
                                              error.message());
    return nullptr;
  }
  endpoint->Receive();
  return endpoint;
}

UdpEndpoint::UdpEndpoint(EventLoop& loop, Handler handler)
    : handler_(std::move(handler)), socket_(loop.context()), buffer_() {}

void UdpEndpoint::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [self = shared_from_this()](const asio::error_code& error,
                                  std::size_t size) {
        if (self->closed_) return;
        // An error reports an earlier send to a closed port; it is ignored.
        if (!error) self->HandleReceived(size);
        if (!self->closed_) self->Receive();
      });
}

void UdpEndpoint::HandleReceived(std::size_t size) {
  received_bytes_ += size;
  const Endpoint from{sender_.address().to_string(), sender_.port()};
  RunGuarded(FaultBoundary::kDatagram, [&] {
    handler_({buffer_.data(), size}, from);
  });
}

void UdpEndpoint::Send(std::string_view data, const Endpoint& to) {
  asio::error_code error;
  const auto address = asio::ip::make_address(to.host, error);
  if (error) return;
  sent_bytes_ += socket_.send_to(asio::buffer(data.data(), data.size()),
                                 {address, to.port}, 0, error);
}

void UdpEndpoint::Close() {
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace wisteriayoke
