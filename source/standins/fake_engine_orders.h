#ifndef WISTERIAYOKE_STANDINS_FAKE_ENGINE_ORDERS_H_
#define WISTERIAYOKE_STANDINS_FAKE_ENGINE_ORDERS_H_

#include "decisions/placement_plan.h"
#include "runtime/event_loop.h"
#include "standins/standin_options.h"
#include "wire/http_message.h"

namespace wisteriayoke {

/// What a stand-in engine holds, and the orders that change it. POST /orders
/// takes an order, GET /orders reports; the report counts the orders taken.
class FakeEngineOrders {
 public:
  FakeEngineOrders(EventLoop& loop, const StandinOptions& options);

  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse Take(const std::string& body);

  EventLoop& loop_;
  bool checks_fencing_;
  EngineState state_;
  FencingNumber fencing_ = 0;
  std::uint64_t taken_ = 0;
  TimePoint ready_at_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_STANDINS_FAKE_ENGINE_ORDERS_H_
