#include "supervisor/context/rumour_exchange.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("rumours reach the carrier and the subscribers that still exist") {
  RumourExchange exchange;
  int carried = 0;
  int delivered = 0;
  const Rumour rumour = TableHeadRumour{{1, "hash"}};
  exchange.Post(rumour);
  const auto carrier = exchange.Carry([&carried](const Rumour&) { ++carried; });
  auto subscriber =
      exchange.Subscribe([&delivered](const Rumour&) { ++delivered; });
  exchange.Post(rumour);
  exchange.Deliver(rumour);
  subscriber.reset();
  exchange.Deliver(rumour);
  CHECK(carried == 1);
  CHECK(delivered == 1);
}

}  // namespace wisteriayoke
