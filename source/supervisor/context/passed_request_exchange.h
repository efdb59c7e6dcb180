#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_PASSED_REQUEST_EXCHANGE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_PASSED_REQUEST_EXCHANGE_H_

#include <functional>
#include <memory>
#include <utility>

#include "runtime/http_server_session.h"

namespace wisteriayoke {

/// Hands requests that peers pass on from the child that receives them to the
/// child that relays them.
class PassedRequestExchange {
 public:
  using Handler = HttpServerSession::Handler;
  /// Keeps the handler subscribed for as long as it is held.
  using Subscription = std::shared_ptr<const Handler>;

  [[nodiscard]] Subscription Subscribe(Handler handler) {
    auto subscription = std::make_shared<const Handler>(std::move(handler));
    subscriber_ = subscription;
    return subscription;
  }

  /// Returns whether there is a subscriber, which then answers.
  bool Deliver(const HttpRequest& request,
               const std::shared_ptr<HttpServerSession>& caller) const {
    const auto handler = subscriber_.lock();
    if (!handler) return false;
    (*handler)(request, caller);
    return true;
  }

 private:
  std::weak_ptr<const Handler> subscriber_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_PASSED_REQUEST_EXCHANGE_H_
