#ifndef WISTERIAYOKE_STANDINS_FAKE_ENGINE_ORDERS_H_
#define WISTERIAYOKE_STANDINS_FAKE_ENGINE_ORDERS_H_

#include "decisions/placement_plan.h"
#include "runtime/event_loop.h"
#include "standins/standin_options.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// Placement state of a stand-in engine and the orders that change it. POST
/// /orders applies an order; GET /orders returns a report, with the fencing
/// number and the count of accepted orders in header fields.
class FakeEngineOrders {
 public:
  FakeEngineOrders(EventLoop& loop, const StandinOptions& options);

  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse ApplyOrder(const std::string& body);

  EventLoop& loop_;
  bool checks_fencing_;
  EngineState state_;
  FencingNumber fencing_ = 0;
  std::uint64_t accepted_orders_ = 0;
  TimePoint ready_at_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_ENGINE_ORDERS_H_
