#include "supervisor/context/gossip_exchange.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("updates reach the sender and the subscribers that still exist") {
  GossipExchange exchange;
  int sent = 0;
  int delivered = 0;
  const GossipUpdate update = TableHeadUpdate{{1, "hash"}};
  exchange.Post(update);
  const auto sender =
      exchange.SetSender([&sent](const GossipUpdate&) { ++sent; });
  auto subscriber =
      exchange.Subscribe([&delivered](const GossipUpdate&) { ++delivered; });
  exchange.Post(update);
  exchange.Deliver(update);
  subscriber.reset();
  exchange.Deliver(update);
  CHECK(sent == 1);
  CHECK(delivered == 1);
}

}  // namespace wisteriayoke
