#include "standins/fake_engine_orders.h"

#include <algorithm>

#include "wire/order_codec.h"

namespace wisteriayoke {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusFenced = 409;
constexpr Duration kLoadTime = std::chrono::milliseconds(200);

}  // namespace

FakeEngineOrders::FakeEngineOrders(EventLoop& loop,
                                   const StandinOptions& options)
    : loop_(loop), checks_fencing_(options.checks_fencing) {
  state_.layers = options.layers;
}

HttpResponse FakeEngineOrders::Handle(const HttpRequest& request) {
  if (request.method == "POST") return ApplyOrder(request.body);
  const bool ready = loop_.Now() >= ready_at_;
  return {{kStatusOk,
           {{"Fake-Fencing", std::to_string(fencing_)},
            {"Fake-Orders", std::to_string(accepted_orders_)}}},
          EncodeEngineReport({state_, ready})};
}

HttpResponse FakeEngineOrders::ApplyOrder(const std::string& body) {
  LastReason reason;
  const auto order = ParseOrder(body, reason);
  if (!order) return {{kStatusBadRequest, {}}, reason.message()};
  if (checks_fencing_ && order->fencing < fencing_) {
    return {{kStatusFenced, {}}, "an order of a later holder was taken"};
  }
  fencing_ = order->fencing;
  ++accepted_orders_;
  if (state_ != order->state) ready_at_ = loop_.Now() + kLoadTime;
  state_ = order->state;
  return {{kStatusOk, {}}, ""};
}

}  // namespace wisteriayoke
