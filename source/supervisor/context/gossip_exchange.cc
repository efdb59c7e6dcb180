#include "supervisor/context/gossip_exchange.h"

#include <utility>

namespace wisteriayoke {

void GossipExchange::Post(const GossipUpdate& update) {
  if (const auto carrier = carrier_.lock()) (*carrier)(update);
}

GossipExchange::Subscription GossipExchange::Subscribe(Handler handler) {
  auto subscription = std::make_shared<const Handler>(std::move(handler));
  subscribers_.push_back(subscription);
  return subscription;
}

GossipExchange::Subscription GossipExchange::SetSender(Handler carrier) {
  auto subscription = std::make_shared<const Handler>(std::move(carrier));
  carrier_ = subscription;
  return subscription;
}

void GossipExchange::Deliver(const GossipUpdate& update) {
  std::erase_if(subscribers_, [](const auto& weak) { return weak.expired(); });
  for (const auto& weak : std::vector(subscribers_)) {
    if (const auto handler = weak.lock()) (*handler)(update);
  }
}

}  // namespace wisteriayoke
