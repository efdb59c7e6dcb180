#include "supervisor/context/gossip_exchange.h"

#include <utility>

namespace wisteriayoke {

void GossipExchange::Post(const GossipUpdate& update) {
  if (const auto sender = sender_.lock()) (*sender)(update);
}

GossipExchange::Subscription GossipExchange::Subscribe(Handler handler) {
  auto subscription = std::make_shared<const Handler>(std::move(handler));
  subscribers_.push_back(subscription);
  return subscription;
}

GossipExchange::Subscription GossipExchange::SetSender(Handler sender) {
  auto subscription = std::make_shared<const Handler>(std::move(sender));
  sender_ = subscription;
  return subscription;
}

void GossipExchange::Deliver(const GossipUpdate& update) {
  std::erase_if(subscribers_, [](const auto& weak) { return weak.expired(); });
  for (const auto& weak : std::vector(subscribers_)) {
    if (const auto handler = weak.lock()) (*handler)(update);
  }
}

}  // namespace wisteriayoke
