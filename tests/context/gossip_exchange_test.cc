#include "supervisor/context/gossip_exchange.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("rumours reach the carrier and the subscribers that still exist") {
  GossipExchange exchange;
  int carried = 0;
  int delivered = 0;
  const GossipUpdate update = TableHeadUpdate{{1, "hash"}};
  exchange.Post(update);
  const auto carrier =
      exchange.SetSender([&carried](const GossipUpdate&) { ++carried; });
  auto subscriber =
      exchange.Subscribe([&delivered](const GossipUpdate&) { ++delivered; });
  exchange.Post(update);
  exchange.Deliver(update);
  subscriber.reset();
  exchange.Deliver(update);
  CHECK(carried == 1);
  CHECK(delivered == 1);
}

}  // namespace wisteriayoke
