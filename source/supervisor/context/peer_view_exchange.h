#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_PEER_VIEW_EXCHANGE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_PEER_VIEW_EXCHANGE_H_

#include <functional>
#include <memory>
#include <utility>

#include "decisions/store_view.h"
#include "decisions/table_spec.h"

namespace wisteriayoke {

/// Passes what peers know of the store's tables from the child that receives
/// their messages to the child that mirrors the tables.
class PeerViewExchange {
 public:
  /// Called with a peer's view and the address at which the peer serves rows.
  using Handler = std::function<void(const StoreView&, const Endpoint&)>;
  /// Keeps the handler subscribed for as long as it is held.
  using Subscription = std::shared_ptr<const Handler>;

  [[nodiscard]] Subscription Subscribe(Handler handler) {
    auto subscription = std::make_shared<const Handler>(std::move(handler));
    subscriber_ = subscription;
    return subscription;
  }

  void Deliver(const StoreView& view, const Endpoint& source) const {
    if (const auto handler = subscriber_.lock()) (*handler)(view, source);
  }

 private:
  std::weak_ptr<const Handler> subscriber_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_PEER_VIEW_EXCHANGE_H_
