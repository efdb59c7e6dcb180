#include "supervisor/context/rumour_exchange.h"

#include <utility>

namespace wisteriayoke {

void RumourExchange::Post(const Rumour& rumour) {
  if (const auto carrier = carrier_.lock()) (*carrier)(rumour);
}

RumourExchange::Subscription RumourExchange::Subscribe(Handler handler) {
  auto subscription = std::make_shared<const Handler>(std::move(handler));
  subscribers_.push_back(subscription);
  return subscription;
}

RumourExchange::Subscription RumourExchange::Carry(Handler carrier) {
  auto subscription = std::make_shared<const Handler>(std::move(carrier));
  carrier_ = subscription;
  return subscription;
}

void RumourExchange::Deliver(const Rumour& rumour) {
  std::erase_if(subscribers_, [](const auto& weak) { return weak.expired(); });
  for (const auto& weak : std::vector(subscribers_)) {
    if (const auto handler = weak.lock()) (*handler)(rumour);
  }
}

}  // namespace wisteriayoke
